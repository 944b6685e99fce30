package io.lavenderroad.model;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.lavenderroad.core.http.HttpAuthority;
import io.lavenderroad.core.wire.Fields;
import io.lavenderroad.model.binding.ConfigurationBinding;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against requests that are not routed by the longest matching prefix, against
 * receivers that miss a changed or removed route, and against different sets of routes
 * with the same digest.
 */
public class RouteSetTests {

	private static final Scope ALL = Scope.everything();

	@Test
	public void longestPrefixOfTheHostWins() {
		RouteTable table = mesh(route("short", "shop.example", "/a/"), route("long", "shop.example", "/a/b/"),
				route("other", "else.example", "/a/b/c/"))
			.routes()
			.table();
		Assert.assertEquals(name(table, "shop.example", "/a/b/c/d"), Optional.of("long"));
		Assert.assertEquals(name(table, "Shop.Example:8080", "/a/x"), Optional.of("short"));
		Assert.assertEquals(name(table, "shop.example", "/ab/"), Optional.empty());
		Assert.assertEquals(name(table, "unknown.example", "/a/"), Optional.empty());
		Assert.assertFalse(table.containsHost(authority("unknown.example")));
	}

	@Test
	public void receiverOfAnyRecentVersionGetsChangedAndRemovedRoutes() {
		MeshConfiguration first = mesh(route("a", "h", "/a/"), route("b", "h", "/b/"), route("c", "h", "/c/"));
		MeshConfiguration second = first.next(2, edit(List.of(route("b", "h", "/b2/")), List.of("c")));
		MeshConfiguration third = second.next(3, edit(List.of(route("d", "h", "/d/")), List.of("a")));
		for (MeshConfiguration receiver : List.of(first, second)) {
			ConfigurationDelta delta = third.deltaFrom(receiver.version(), Set.of("catalogue"), ALL).orElseThrow();
			MeshConfiguration applied = receiver.apply(delta).orElseThrow();
			Assert.assertEquals(List.copyOf(applied.routes().all()), List.copyOf(third.routes().all()));
		}
	}

	@Test
	public void receiverThatMissedTooManyRemovalsGetsTheWholeSlice() {
		MeshConfiguration mesh = mesh(route("kept", "h", "/"));
		MeshConfiguration first = mesh;
		for (int index = 0; index <= RouteSet.MAXIMUM_REMOVALS; index++) {
			String name = "r" + index;
			mesh = mesh.next(mesh.version() + 1, edit(List.of(route(name, "h", "/" + name + "/")), List.of()));
			mesh = mesh.next(mesh.version() + 1, edit(List.of(), List.of(name)));
		}
		Assert.assertTrue(mesh.deltaFrom(first.version(), Set.of("catalogue"), ALL).isEmpty());
		Assert.assertTrue(mesh.deltaFrom(mesh.version() - 10, Set.of("catalogue"), ALL).isPresent());
	}

	@Test
	public void digestDependsOnRoutesAndLimits() throws IOException {
		MeshConfiguration mesh = mesh(route("a", "h", "/a/"));
		MeshConfiguration changedRoute = mesh.next(2, edit(List.of(route("a", "h", "/b/")), List.of()));
		MeshConfiguration changedLimits = mesh.next(2, new ConfigurationEdit(List.of(), List.of(), List.of(), List.of(),
				Optional.of(new CallerLimits(1, 2, 3, 4))));
		Assert.assertNotEquals(changedRoute.digest(), mesh.digest());
		Assert.assertNotEquals(changedLimits.digest(), mesh.digest());
		byte[] bytes = ConfigurationBinding.toBytes(changedLimits, ConfigurationBinding::packConfiguration);
		MeshConfiguration decoded = ConfigurationBinding.unpackConfiguration(Fields.unpacker(bytes));
		Assert.assertEquals(decoded.digest(), changedLimits.digest());
		Assert.assertEquals(decoded.limits(), changedLimits.limits());
	}

	@Test
	public void routeToAnUnknownServiceIsAMissingResource() {
		Assert.assertEquals(mesh(route("a", "h", "/a/")).missingResources(), List.of());
		HostRoute unresolved = HostRoute.builder("lost").match("h", "/").rules(rules("lost")).service("nobody").build();
		Assert.assertEquals(mesh(unresolved).missingResources().size(), 1);
	}

	private static HttpAuthority authority(String host) {
		return HttpAuthority.parse(host).orElseThrow();
	}

	private static Optional<String> name(RouteTable table, String host, String path) {
		return table.find(authority(host), path).map(HostRoute::name);
	}

	private static MeshConfiguration mesh(HostRoute... routes) {
		ServiceConfiguration service = ServiceConfiguration.builder("catalogue").openToCallers(true).build();
		return MeshConfiguration.EMPTY.next(1,
				new ConfigurationEdit(List.of(service), List.of(), List.of(routes), List.of(), Optional.empty()));
	}

	private static ConfigurationEdit edit(List<HostRoute> routes, List<String> removed) {
		return new ConfigurationEdit(List.of(), List.of(), routes, removed, Optional.empty());
	}

	private static HostRoute route(String name, String host, String prefix) {
		return HostRoute.builder(name).match(host, prefix).rules(rules(name)).weights(Map.of("catalogue", 1)).build();
	}

	private static CallRules rules(String name) {
		return new CallRules(name, true, 1_000, 500, 0, 2, 1_000);
	}

}
