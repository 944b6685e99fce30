package io.lavenderroad.node;

import java.net.InetAddress;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import io.lavenderroad.core.http.HttpAuthority;
import io.lavenderroad.model.CallRules;
import io.lavenderroad.model.ConfigurationEdit;
import io.lavenderroad.model.HostRoute;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.Route;
import io.lavenderroad.model.ServiceConfiguration;
import io.lavenderroad.node.http.Cancellation;
import io.lavenderroad.node.http.HeaderFields;
import io.lavenderroad.node.http.IncomingRequest;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a request that reaches a service to which neither its host and port nor
 * the service that it names lead.
 */
public class RouteSearchTests {

	private static final String NONE = "none";

	private static final RouteSearch SEARCH = new RouteSearch(configuration(), "", new Random(1));

	@DataProvider
	Object[][] requests() {
		return new Object[][] { { "desk.example:8443", "", "orders" }, { "desk.example:8080", "", "bills" },
				{ "DESK.example:08443", "", "orders" }, { "desk.example:9000", "", NONE }, { "desk.example", "", NONE },
				{ "desk.example:80", "", NONE }, { "shop.example", "", "orders" },
				{ "shop.example:9000", "", "orders" }, { "desk", "", "desk" }, { "Desk:9000", "", "desk" },
				{ "desk.other.example", "", "desk" }, { "[::1]:8443", "", NONE }, { "", "", NONE },
				{ "desk.example:8443", "desk", "desk" } };
	}

	@Test(dataProvider = "requests")
	public void serviceIsThatOfTheHostAndItsPort(String host, String service, String expected) {
		IncomingRequest request = new IncomingRequest("GET", "/a/1", HttpAuthority.parse(host), HeaderFields.NONE,
				new byte[0], InetAddress.getLoopbackAddress(), InetAddress.getLoopbackAddress(), new Cancellation());
		Assert.assertEquals(SEARCH.find(request, service).fold((reason) -> NONE, (target) -> target.service().name()),
				expected);
	}

	private static MeshConfiguration configuration() {
		Route any = new Route("any", Route.ANY_METHOD, "/", true, 1_000, 1_000);
		ServiceConfiguration desk = service("desk").toBuilder().routes(List.of(any)).build();
		List<HostRoute> routes = List.of(route("desk.example:8443", "orders"), route("desk.example:8080", "bills"),
				route("shop.example", "orders"));
		return MeshConfiguration.EMPTY.next(1, new ConfigurationEdit(List.of(desk, service("orders"), service("bills")),
				List.of(), routes, List.of(), Optional.empty()));
	}

	private static ServiceConfiguration service(String name) {
		return ServiceConfiguration.builder(name).openToCallers(true).build();
	}

	private static HostRoute route(String host, String service) {
		return HostRoute.builder(host)
			.match(host, "/a/")
			.rules(new CallRules(host, true, 1_000, 500, 0, 2, 1_000))
			.service(service)
			.build();
	}

}
