package io.lavenderroad.distribution;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;

import io.lavenderroad.core.Clock;
import io.lavenderroad.distribution.LocalMesh.Node;
import io.lavenderroad.distribution.LocalMesh.Root;
import io.lavenderroad.model.EndpointState;
import io.lavenderroad.model.Evidence;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.ServiceConfiguration;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Runs a tree over loopback sockets. Guards against nodes that keep an old version after
 * their relay is lost or stops responding, a decreasing version, evidence that is counted
 * twice, and nodes that lose their parent when a relay shuts down.
 */
public class RelayTreeTests {

	private static final int NODES = 24;

	private static final long TIMEOUT_MILLIS = 60_000;

	private LocalMesh mesh;

	private MeshConfiguration configuration;

	@BeforeMethod
	void start() {
		this.mesh = new LocalMesh().withRelays();
		this.configuration = MeshConfiguration.EMPTY.next(1, List.of(DistributionTests.service("a", 1, Set.of())),
				List.of());
	}

	@AfterMethod
	void stop() {
		this.mesh.close();
	}

	@DataProvider
	Object[][] losses() {
		return new Object[][] { { false }, { true } };
	}

	@Test(dataProvider = "losses")
	public void changeReachesAllNodesAfterLossOfRelay(boolean frozen) {
		Root root = startTree(1);
		Node relay = relay();
		if (frozen) {
			relay.freeze();
		}
		else {
			relay.kill();
		}
		change(10);
		DistributionTests.await(() -> this.mesh.nodes()
			.stream()
			.filter((node) -> node != relay)
			.allMatch((node) -> node.version() == this.configuration.version()
					&& !node.distribution().status().path().contains(node.id)));
		DistributionTests.await(() -> root.distribution().registry().unexpired("a").size() == NODES - 1);
	}

	/**
	 * Guards against a node that the others ignore, because its clock was set back since
	 * its earlier process started.
	 */
	@Test(dataProvider = "losses")
	public void nodeThatRestartsWithAnEarlierClockIsUsedAgain(boolean belowARelay) {
		Root root = startTree(1);
		Node old = belowARelay ? this.mesh.nodes()
			.stream()
			.filter((node) -> node.distribution().status().path().size() > 1)
			.findFirst()
			.orElseThrow() : relay();
		old.kill();
		Node next = this.mesh.nodeWithClockBehind(old.id, "d", "a", 5_000).start();
		DistributionTests.await(() -> root.distribution()
			.registry()
			.unexpired("a")
			.stream()
			.anyMatch((endpoint) -> endpoint.frameAddress().equals(next.address)));
		change(3);
		DistributionTests.await(() -> next.version() == this.configuration.version());
	}

	@Test
	public void relayShutdownDetachesNoNode() {
		this.mesh = new LocalMesh(slowClock()).withRelays();
		startTree(1);
		Node relay = relay();
		AtomicBoolean detachedSeen = new AtomicBoolean();
		AtomicBoolean done = new AtomicBoolean();
		Thread watcher = Thread.ofVirtual().start(() -> {
			while (!done.get()) {
				boolean detached = this.mesh.nodes()
					.stream()
					.anyMatch((node) -> node != relay && node.distribution().status().parent().isEmpty());
				detachedSeen.compareAndSet(false, detached);
				Thread.yield();
			}
		});
		relay.stop();
		change(20);
		DistributionTests.await(() -> this.mesh.nodes()
			.stream()
			.filter((node) -> node != relay)
			.allMatch((node) -> node.version() == this.configuration.version()));
		done.set(true);
		DistributionTests.await(() -> !watcher.isAlive());
		Assert.assertFalse(detachedSeen.get(), "a node was without a parent");
		DistributionTests
			.await(() -> this.mesh.roots().getFirst().distribution().registry().unexpired("a").size() == NODES - 1);
		Assert.assertEquals(this.mesh.roots().getFirst().distribution().status().unreachableCount(), 0,
				"a node that left counts as unreachable");
	}

	@Test
	public void evidenceIsCountedOnceAtEveryRoot() {
		this.mesh = new LocalMesh(slowClock()).withRelays();
		startTree(3);
		for (int round = 0; round < 50; round++) {
			this.mesh.nodes().forEach((node) -> node.distribution().report(EvidenceSenderTests.evidence(1)));
		}
		for (Root root : this.mesh.roots()) {
			DistributionTests.await(() -> calls(root) >= 50 * NODES);
		}
		// The sum after one more report shows that no evidence was added twice.
		this.mesh.nodes().getFirst().distribution().report(EvidenceSenderTests.evidence(1));
		for (Root root : this.mesh.roots()) {
			DistributionTests.await(() -> calls(root) > 50 * NODES);
			Assert.assertEquals(calls(root), 50 * NODES + 1);
		}
	}

	@Test
	public void everyRootHasAllEndpointsAndStatusOfAllNodes() {
		startTree(3);
		for (Root root : this.mesh.roots()) {
			DistributionTests.await(() -> root.distribution().registry().unexpired("a").size() == NODES);
			DistributionTests
				.await(() -> root.distribution().status().nodes() == NODES && root.distribution().status().converged());
		}
		Node first = this.mesh.nodes().getFirst();
		first.distribution().announce(EndpointState.DRAINING);
		for (Node node : this.mesh.nodes()) {
			DistributionTests.await(() -> node.distribution()
				.endpoints("a")
				.stream()
				.anyMatch((endpoint) -> endpoint.nodeId().equals(first.id)
						&& endpoint.state() == EndpointState.DRAINING));
		}
	}

	@Test
	public void nodesOfLostRootAttachToOtherRoots() {
		List<Root> roots = startRoots(3);
		startNodes();
		roots.get(1).kill();
		change(30);
		DistributionTests.await(() -> this.mesh.nodes()
			.stream()
			.allMatch((node) -> node.version() == this.configuration.version()
					&& Set.of(roots.get(0).id, roots.get(2).id).contains(rootOf(node))));
		DistributionTests.await(() -> roots.getFirst().distribution().registry().unexpired("a").size() == NODES);
	}

	@Test
	public void restartedNodeServesStoredVersionImmediatelyAndNeverAnOlderOne() throws IOException {
		Path folder = Files.createTempDirectory("distribution");
		this.configuration = this.configuration.next(5, List.of(), List.of());
		startRoots(1);
		Node first = this.mesh.node("node", "east", "a").dataFolder(folder).start();
		DistributionTests.await(() -> first.version() == 5);
		first.kill();
		this.mesh.roots().getFirst().kill();
		this.mesh.roots().clear();
		LocalMesh.Root outdatedRoot = this.mesh.startRoots(1, Optional::empty).getFirst();
		outdatedRoot.distribution()
			.publish(MeshConfiguration.EMPTY.next(3, List.of(DistributionTests.service("a", 1, Set.of())), List.of()));
		Node second = this.mesh.node("node", "east", "a").dataFolder(folder).start();
		Assert.assertEquals(second.version(), 5);
		DistributionTests.await(() -> second.distribution().status().parent().isPresent());
		outdatedRoot.distribution().publish(this.configuration.next(6, List.of(), List.of()));
		DistributionTests.await(() -> {
			Assert.assertTrue(second.version() >= 5, "version decreased to " + second.version());
			return second.version() == 6;
		});
	}

	@Test
	public void rejectedVersionIsReportedAndNextVersionIsApplied() {
		Root root = startRoots(1).getFirst();
		Node rejecting = this.mesh.node("picky", "east", "a")
			.validator((candidate) -> (candidate.version() == 2) ? List.of("port 80 is taken") : List.of())
			.start();
		Node other = this.mesh.node("other", "east", "a").start();
		DistributionTests.await(() -> rejecting.version() == 1 && other.version() == 1);
		change(1);
		DistributionTests.await(() -> other.version() == 2);
		DistributionTests.await(() -> root.distribution()
			.status()
			.rejected()
			.equals(List.of(new RejectedVersion("picky", 2, "port 80 is taken"))));
		Assert.assertEquals(rejecting.version(), 1);
		change(2);
		DistributionTests.await(() -> rejecting.version() == 3);
		DistributionTests.await(() -> root.distribution().status().rejected().isEmpty());
	}

	@Test
	public void nodesFindRootMissingFromTheirSettings() {
		Root first = startTree(1);
		Root second = startRoots(1).getFirst();
		second.distribution().peers(List.of(first.address));
		first.distribution().peers(List.of(second.address));
		DistributionTests.await(() -> this.mesh.nodes()
			.stream()
			.allMatch((node) -> node.distribution().roots().contains(second.address)));
		first.kill();
		DistributionTests.await(() -> this.mesh.nodes().stream().allMatch((node) -> rootOf(node).equals(second.id)));
	}

	@Test
	public void awaitInForceReturnsTrueOnlyWhenEveryAttachedNodeServesTheVersion() {
		startTree(3);
		for (int round = 0; round < 20; round++) {
			change(50 + round);
			for (Root root : this.mesh.roots()) {
				Assert.assertTrue(root.distribution().awaitActive(this.configuration.version(), TIMEOUT_MILLIS));
				for (Node node : this.mesh.nodes()) {
					Assert.assertEquals(node.version(), this.configuration.version(), node.id);
				}
			}
		}
	}

	@Test
	public void awaitInForceWaitsForFrozenNodeUntilItsConnectionIsLost() {
		Root root = startTree(1);
		Node frozen = relay();
		frozen.freeze();
		change(80);
		Assert.assertFalse(root.distribution().awaitActive(this.configuration.version(), 0));
		Assert.assertTrue(root.distribution().awaitActive(this.configuration.version(), TIMEOUT_MILLIS));
		DistributionTests.await(() -> this.mesh.nodes()
			.stream()
			.allMatch((node) -> node == frozen || node.version() == this.configuration.version()));
	}

	@Test
	public void awaitInForceDoesNotWaitForFrozenControlMember() {
		this.mesh = new LocalMesh(slowClock()).withRelays();
		startTree(3);
		Root frozen = this.mesh.roots().get(1);
		Root other = this.mesh.roots().getFirst();
		frozen.freeze();
		DistributionTests.await(() -> this.mesh.nodes().stream().noneMatch((node) -> rootOf(node).equals(frozen.id)));
		change(90);
		DistributionTests
			.await(() -> this.mesh.nodes().stream().allMatch((node) -> node.version() == this.configuration.version()));
		Assert.assertTrue(other.distribution().awaitActive(this.configuration.version(), TIMEOUT_MILLIS),
				"the wait includes a member that is lost");
	}

	@Test
	public void nodesLeaveIsolatedRoot() {
		AtomicBoolean isolated = new AtomicBoolean();
		List<Root> roots = this.mesh.startRoots(2, () -> Optional.of(1L),
				(index) -> () -> (index == 0 && isolated.get()) ? 60_000 : 0);
		roots.forEach((root) -> root.distribution().publish(this.configuration));
		startNodes();
		isolated.set(true);
		change(40);
		DistributionTests
			.await(() -> this.mesh.nodes().stream().allMatch((node) -> rootOf(node).equals(roots.get(1).id)));
	}

	private Root startTree(int roots) {
		Root root = startRoots(roots).getFirst();
		startNodes();
		return root;
	}

	private List<Root> startRoots(int count) {
		List<Root> roots = this.mesh.startRoots(count, () -> Optional.of(1L));
		roots.forEach((root) -> root.distribution().publish(this.configuration));
		return roots;
	}

	private void startNodes() {
		for (int index = 0; index < NODES; index++) {
			this.mesh.node("node-" + index, "east", "a").start();
		}
		DistributionTests
			.await(() -> this.mesh.nodes().stream().allMatch((node) -> node.version() == this.configuration.version()));
	}

	private Node relay() {
		return this.mesh.nodes()
			.stream()
			.filter((node) -> node.distribution().status().children() > 0)
			.findFirst()
			.orElseThrow();
	}

	// On a busy machine a peer may be silent for longer than the limit. Tests whose
	// result depends on connections that stay open use a clock at a fifth of the speed.
	private static Clock slowClock() {
		Clock system = Clock.system();
		long startMillis = system.millis();
		return () -> startMillis + (system.millis() - startMillis) / 5;
	}

	private static String rootOf(Node node) {
		return node.distribution().status().path().stream().findFirst().orElse("");
	}

	private void change(int timeoutMillis) {
		ServiceConfiguration service = DistributionTests.service("a", timeoutMillis, Set.of())
			.toBuilder()
			.split(Map.of("v1", ServiceConfiguration.FULL_SHARE_BASIS_POINTS))
			.build();
		this.configuration = this.configuration.next(this.configuration.version() + 1, List.of(service), List.of());
		this.mesh.roots().forEach((root) -> root.distribution().publish(this.configuration));
	}

	private static long calls(Root root) {
		return EvidenceSenderTests.calls(root.evidence.stream().reduce(Evidence.NONE, Evidence::plus));
	}

}
