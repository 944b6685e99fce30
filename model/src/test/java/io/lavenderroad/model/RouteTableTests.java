package io.lavenderroad.model;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import io.lavenderroad.core.http.HttpAuthority;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against requests that run at the service of another host: a host that differs in
 * its port only, or that is written in another form.
 */
public class RouteTableTests {

	@DataProvider
	Object[][] names() {
		return new Object[][] { { "a-orders", "b-bills" }, { "b-orders", "a-bills" } };
	}

	// A route that was added for another port took over all requests of the older one.
	@Test(dataProvider = "names")
	public void routeOfAnotherPortTakesNoRequestsOver(String orders, String bills) {
		RouteTable table = table(route(orders, "desk.example:8443", "/desk/"),
				route(bills, "desk.example:8080", "/desk/"));
		Assert.assertEquals(name(table, "desk.example:8443", "/desk/1"), Optional.of(orders));
		Assert.assertEquals(name(table, "desk.example:8080", "/desk/1"), Optional.of(bills));
		Assert.assertEquals(name(table, "desk.example:9000", "/desk/1"), Optional.empty());
		Assert.assertEquals(name(table, "desk.example", "/desk/1"), Optional.empty());
	}

	// A bracketed address without a port lost its last group.
	@Test
	public void addressesInBracketsAreDistinguished() {
		RouteTable table = table(route("one", "[2001:db8::1]", "/"), route("two", "[2001:db8::2]", "/"));
		Assert.assertEquals(name(table, "[2001:db8::1]", "/"), Optional.of("one"));
		Assert.assertEquals(name(table, "[2001:db8::2]", "/"), Optional.of("two"));
		Assert.assertEquals(name(table, "[2001:DB8:0::2]:8443", "/"), Optional.of("two"));
	}

	@Test
	public void routeWithoutAPortServesEachPortOfItsHost() {
		RouteTable table = table(route("any", "desk.example", "/"));
		for (String host : List.of("desk.example", "DESK.example", "desk.example:", "desk.example:80",
				"desk.example:8443", "%64esk.example")) {
			Assert.assertEquals(name(table, host, "/desk/1"), Optional.of("any"), host);
		}
		for (String host : List.of("desk.example.", "esk.example", "desk", "")) {
			Assert.assertEquals(name(table, host, "/desk/1"), Optional.empty(), host);
		}
	}

	@Test
	public void routeOfTheStatedPortPrecedesARouteWithoutAPort() {
		RouteTable table = table(route("any", "desk.example", "/desk/deep/"),
				route("stated", "desk.example:8443", "/desk/"));
		Assert.assertEquals(name(table, "desk.example:8443", "/desk/deep/1"), Optional.of("stated"));
		Assert.assertEquals(name(table, "desk.example", "/desk/deep/1"), Optional.of("any"));
		Assert.assertEquals(name(table, "desk.example", "/desk/1"), Optional.empty());
	}

	// A route that is added for one port leaves the other paths of a host as they were.
	@Test
	public void pathsThatNoRouteOfThePortServesKeepTheirRoute() {
		RouteTable table = table(route("any", "desk.example", "/"), route("stated", "desk.example:8443", "/new/"));
		Assert.assertEquals(name(table, "desk.example:8443", "/old/"), Optional.of("any"));
		Assert.assertEquals(name(table, "desk.example:8443", "/new/"), Optional.of("stated"));
		Assert.assertEquals(name(table, "desk.example:80", "/new/"), Optional.of("any"));
	}

	@Test
	public void defaultPortIsTheSameHostWithAndWithoutAPort() {
		RouteTable table = table(route("any", "desk.example", "/"), route("stated", "desk.example:080", "/desk/"));
		Assert.assertEquals(name(table, "desk.example", "/desk/1"), Optional.of("stated"));
		Assert.assertEquals(name(table, "desk.example:80", "/desk/1"), Optional.of("stated"));
		Assert.assertEquals(name(table, "desk.example:80", "/other/"), Optional.of("any"));
		Assert.assertEquals(name(table, "desk.example:8443", "/desk/1"), Optional.of("any"));
	}

	// Earlier versions accepted any text as host.
	@Test
	public void storedRouteWithAnUnreadableHostServesNothing() {
		RouteTable table = table(route("odd", "desk.example:http", "/"), route("empty", "", "/"),
				route("any", "desk.example", "/desk/"));
		Assert.assertEquals(name(table, "desk.example", "/desk/1"), Optional.of("any"));
		Assert.assertEquals(name(table, "desk.example", "/"), Optional.empty());
		Assert.assertEquals(name(table, "", "/"), Optional.empty());
	}

	private static Optional<String> name(RouteTable table, String host, String path) {
		return HttpAuthority.parse(host).flatMap((authority) -> table.find(authority, path)).map(HostRoute::name);
	}

	private static RouteTable table(HostRoute... routes) {
		return new RouteTable(Arrays.asList(routes));
	}

	private static HostRoute route(String name, String host, String prefix) {
		return HostRoute.builder(name)
			.match(host, prefix)
			.rules(new CallRules(name, true, 1_000, 500, 0, 2, 1_000))
			.service(name)
			.build();
	}

}
