package io.lavenderroad.node.http;

import java.util.List;
import java.util.Optional;

import io.lavenderroad.core.http.HttpAuthority;
import io.vavr.control.Either;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a request whose target and {@code Host} field name different hosts, and
 * against refusing one that names the same host in two forms.
 */
public class RequestAuthorityTests {

	private static final String NONE = "none";

	@DataProvider
	Object[][] named() {
		return new Object[][] { { "/a", "desk.example", "desk.example:80" },
				{ "/a", "Desk.example:8443", "desk.example:8443" }, { "/a", "[::1]:8443", "[0:0:0:0:0:0:0:1]:8443" },
				{ "/a", "", NONE }, { "/a", NONE, NONE }, { "http://desk.example/a", NONE, "desk.example:80" },
				{ "http://desk.example/a", "desk.example:80", "desk.example:80" },
				{ "http://DESK.example:/a", "desk.example", "desk.example:80" },
				{ "http://desk.example:8443/a", "desk.example:8443", "desk.example:8443" },
				{ "https://desk.example/a", "desk.example", "desk.example:443" },
				{ "https://desk.example/a", "desk.example:443", "desk.example:443" } };
	}

	@DataProvider
	Object[][] refused() {
		return new Object[][] { { "/a", "desk.example:http" }, { "/a", "u@desk.example" }, { "/a", "[::1" },
				{ "/a", "desk.example:65536" }, { "http://desk.example/a", "desk.example:8443" },
				{ "http://desk.example:8443/a", "desk.example" }, { "http://desk.example/a", "other.example" },
				{ "http://desk.example/a", "" }, { "http://[::1]/a", "[::2]" },
				{ "https://desk.example/a", "desk.example:80" } };
	}

	@Test(dataProvider = "named")
	public void hostOfTheRequestIsNamed(String target, String field, String authority) {
		Optional<String> named = of(target, field).get().map((found) -> found.host() + ":" + found.port());
		Assert.assertEquals(named.orElse(NONE), authority);
	}

	@Test(dataProvider = "refused")
	public void unreadableOrOtherHostIsRefused(String target, String field) {
		Assert.assertTrue(of(target, field).isLeft());
	}

	@Test
	public void fieldOfTheCallerIsPassedOnAsItWasSent() {
		RequestTarget target = RequestTarget.parse("http://desk.example/a").get();
		HeaderFields sent = HeaderFields.of(List.of("Host", "Desk.Example:80"));
		Assert.assertEquals(RequestAuthority.withHost(target, sent).pairs(), sent.pairs());
		Assert.assertEquals(RequestAuthority.withHost(target, HeaderFields.NONE).text("Host"), "desk.example");
	}

	private static Either<String, Optional<HttpAuthority>> of(String target, String field) {
		HeaderFields fields = field.equals(NONE) ? HeaderFields.NONE : HeaderFields.of(List.of("Host", field));
		return RequestAuthority.of(RequestTarget.parse(target).get(), fields);
	}

}
