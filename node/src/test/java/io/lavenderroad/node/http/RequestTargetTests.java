package io.lavenderroad.node.http;

import java.util.Optional;

import io.vavr.control.Either;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a target that is routed by other bytes than those that the backend
 * server gets, and against forms that callers and backend servers may read differently.
 */
public class RequestTargetTests {

	@DataProvider
	Object[][] accepted() {
		return new Object[][] { { "/", "/", "" }, { "/a/b?c=/d", "/a/b?c=/d", "" },
				{ "//orders/7/cancel", "//orders/7/cancel", "" }, { "//", "//", "" }, { "///", "///", "" },
				{ "/a//b", "/a//b", "" }, { "/a%2Fb", "/a%2Fb", "" }, { "/a/../b/./c", "/a/../b/./c", "" },
				{ "/a?", "/a?", "" }, { "/%", "/%", "" }, { "/[:", "/[:", "" }, { "/\u00e9", "/\u00e9", "" },
				{ "http://h/a?b", "/a?b", "h" }, { "HTTP://h:80//a", "//a", "h:80" }, { "http://h", "/", "h" },
				{ "http://h?b", "/?b", "h" }, { "https://h/", "/", "h" } };
	}

	@DataProvider
	Object[][] refused() {
		return new Object[][] { { "" }, { "*" }, { "?a" }, { "a/b" }, { "h:80" }, { "/a#b" }, { "/a\\b" },
				{ "\\\\h\\a" }, { "/a\tb" }, { "/a\u0000" }, { "/\u007f" }, { "http:///a" }, { "http://u@h/a" },
				{ "ftp://h/a" }, { "://h/a" }, { "http://:80/a" }, { "http://h:x/a" }, { "http://h:65536/a" },
				{ "http://[::1/a" } };
	}

	@Test(dataProvider = "accepted")
	public void targetGoesOnAsItWasSent(String target, String path, String authority) {
		Either<String, RequestTarget> parsed = RequestTarget.parse(target);
		Assert.assertEquals(parsed.get(), new RequestTarget(path,
				Optional.of(authority).filter((value) -> !value.isEmpty()), target.startsWith("https:") ? 443 : 80),
				target);
	}

	@Test(dataProvider = "refused")
	public void ambiguousTargetIsRefused(String target) {
		Assert.assertTrue(RequestTarget.parse(target).isLeft(), target);
	}

}
