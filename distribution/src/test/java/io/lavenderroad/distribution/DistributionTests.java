package io.lavenderroad.distribution;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import io.lavenderroad.distribution.LocalMesh.Node;
import io.lavenderroad.distribution.LocalMesh.Root;
import io.lavenderroad.model.EndpointState;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.Route;
import io.lavenderroad.model.ServiceConfiguration;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Runs roots and nodes over loopback sockets. Guards against nodes that miss a version,
 * serve an older one, or miss announcements of endpoints.
 */
public class DistributionTests {

	private static final long TIMEOUT_MILLIS = 60_000;

	private LocalMesh mesh;

	@BeforeMethod
	void start() {
		this.mesh = new LocalMesh();
	}

	@AfterMethod
	void stop() {
		this.mesh.close();
	}

	@Test
	public void nodeReceivesItsSliceAndEachChange() {
		Root root = this.mesh.startRoots(1, () -> Optional.of(0L)).getFirst();
		MeshConfiguration first = MeshConfiguration.EMPTY.next(1,
				List.of(service("a", 1, Set.of("b")), service("b", 1, Set.of()), service("c", 1, Set.of())), List.of());
		root.distribution().publish(first);
		Node node = this.mesh.node("node-1", "east", "a").start();
		await(() -> node.version() == 1);
		Assert.assertEquals(node.distribution().configuration().orElseThrow().services().keySet(), Set.of("a", "b"));
		MeshConfiguration second = first.next(2, List.of(service("b", 2, Set.of())), List.of());
		root.distribution().publish(second);
		await(() -> node.version() == 2);
		root.distribution().publish(second.next(3, List.of(service("c", 3, Set.of())), List.of()));
		await(() -> node.version() == 3);
		await(() -> root.distribution().status().converged() && root.distribution().status().nodes() == 1);
	}

	@Test
	public void announcementReachesOtherNodesAndExpiresWhenTheNodeIsKilled() {
		Root root = this.mesh.startRoots(1, () -> Optional.of(0L)).getFirst();
		root.distribution().publish(MeshConfiguration.EMPTY.next(1, List.of(service("a", 1, Set.of())), List.of()));
		Node first = this.mesh.node("node-1", "east", "a").start();
		Node second = this.mesh.node("node-2", "west", "a").start();
		await(() -> first.distribution().endpoints("a").size() == 2
				&& second.distribution().endpoints("a").size() == 2);
		first.distribution().announce(EndpointState.DRAINING);
		await(() -> second.distribution().endpoints("a").getFirst().state() == EndpointState.DRAINING);
		first.kill();
		await(() -> second.distribution().endpoints("a").size() == 1);
		await(() -> root.distribution().status().unreachableCount() == 1);
	}

	@Test
	public void nodeWithoutStoredVersionServesNothingBelowTheFloor() {
		Root root = this.mesh.startRoots(1, () -> Optional.of(5L)).getFirst();
		MeshConfiguration old = MeshConfiguration.EMPTY.next(4, List.of(service("a", 1, Set.of())), List.of());
		root.distribution().publish(old);
		Node node = this.mesh.node("node-1", "east", "a").start();
		await(() -> node.distribution().status().version() == 4);
		Assert.assertEquals(node.distribution().configuration(), Optional.empty());
		root.distribution().publish(old.next(5, List.of(), List.of()));
		await(() -> node.version() == 5);
	}

	static ServiceConfiguration service(String name, int timeoutMillis, Set<String> calls) {
		return ServiceConfiguration.builder(name)
			.team("team")
			.calls(calls)
			.routes(List.of(new Route("all", Route.ANY_METHOD, "/", true, timeoutMillis, 65_536)))
			.versions(List.of("v1"))
			.split(Map.of("v1", ServiceConfiguration.FULL_SHARE_BASIS_POINTS))
			.build();
	}

	static void await(Supplier<Boolean> condition) {
		Assert.assertTrue(LocalMesh.Await.until(TIMEOUT_MILLIS, condition), "condition was not met in time");
	}

}
