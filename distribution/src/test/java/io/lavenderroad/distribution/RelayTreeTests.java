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
 * Guards the tree over loopback sockets against nodes that stay behind a lost or silent
 * relay, versions that go back, evidence that is counted twice, and cuts on shutdown.
 */
public class RelayTreeTests {

	private static final int NODES = 24;

	private static final long IN_FORCE_MILLIS = 60_000;

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
	public void changeReachesAllNodesAfterTheLossOfARelay(boolean silent) {
		Root root = startTree(1);
		Node relay = relay();
		if (silent) {
			relay.hang();
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
		DistributionTests.await(() -> root.distribution().registry().live("a").size() == NODES - 1);
	}

	@Test
	public void shutdownOfARelayCutsNobodyOff() {
		this.mesh = new LocalMesh(slowClock()).withRelays();
		startTree(1);
		Node relay = relay();
		AtomicBoolean cut = new AtomicBoolean();
		AtomicBoolean done = new AtomicBoolean();
		Thread watcher = Thread.ofVirtual().start(() -> {
			while (!done.get()) {
				boolean detached = this.mesh.nodes()
					.stream()
					.anyMatch((node) -> node != relay && node.distribution().status().parent().isEmpty());
				cut.compareAndSet(false, detached);
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
		Assert.assertFalse(cut.get(), "a node was without a parent");
		DistributionTests
			.await(() -> this.mesh.roots().getFirst().distribution().registry().live("a").size() == NODES - 1);
		Assert.assertEquals(this.mesh.roots().getFirst().distribution().status().unreachableCount(), 0,
				"a node that left is not unreachable");
	}

	@Test
	public void evidenceArrivesOnceAtEveryRoot() {
		this.mesh = new LocalMesh(slowClock()).withRelays();
		startTree(3);
		for (int round = 0; round < 50; round++) {
			this.mesh.nodes().forEach((node) -> node.distribution().report(EvidenceSenderTests.evidence(1)));
		}
		for (Root root : this.mesh.roots()) {
			DistributionTests.await(() -> calls(root) >= 50 * NODES);
		}
		// A second sum after another report shows that nothing was added again.
		this.mesh.nodes().getFirst().distribution().report(EvidenceSenderTests.evidence(1));
		for (Root root : this.mesh.roots()) {
			DistributionTests.await(() -> calls(root) > 50 * NODES);
			Assert.assertEquals(calls(root), 50 * NODES + 1);
		}
	}

	@Test
	public void everyRootKnowsAllEndpointsAndTheWholeStatus() {
		startTree(3);
		for (Root root : this.mesh.roots()) {
			DistributionTests.await(() -> root.distribution().registry().live("a").size() == NODES);
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
	public void lossOfARootMovesItsNodesToTheOthers() {
		List<Root> roots = startRoots(3);
		startNodes();
		roots.get(1).kill();
		change(30);
		DistributionTests.await(() -> this.mesh.nodes()
			.stream()
			.allMatch((node) -> node.version() == this.configuration.version()
					&& Set.of(roots.get(0).id, roots.get(2).id).contains(rootOf(node))));
		DistributionTests.await(() -> roots.getFirst().distribution().registry().live("a").size() == NODES);
	}

	@Test
	public void nodeWithMemoryServesAtOnceAndNeverGoesBack() throws IOException {
		Path folder = Files.createTempDirectory("distribution");
		this.configuration = this.configuration.next(5, List.of(), List.of());
		startRoots(1);
		Node first = this.mesh.node("node", "east", "a").dataFolder(folder).start();
		DistributionTests.await(() -> first.version() == 5);
		first.kill();
		this.mesh.roots().getFirst().kill();
		this.mesh.roots().clear();
		LocalMesh.Root behind = this.mesh.startRoots(1, Optional::empty).getFirst();
		behind.distribution()
			.publish(MeshConfiguration.EMPTY.next(3, List.of(DistributionTests.service("a", 1, Set.of())), List.of()));
		Node second = this.mesh.node("node", "east", "a").dataFolder(folder).start();
		Assert.assertEquals(second.version(), 5);
		DistributionTests.await(() -> second.distribution().status().parent().isPresent());
		behind.distribution().publish(this.configuration.next(6, List.of(), List.of()));
		DistributionTests.await(() -> {
			Assert.assertTrue(second.version() >= 5, "went back to " + second.version());
			return second.version() == 6;
		});
	}

	@Test
	public void rejectedVersionIsReportedAndTheNextOneIsApplied() {
		Root root = startRoots(1).getFirst();
		Node picky = this.mesh.node("picky", "east", "a")
			.validator((candidate) -> (candidate.version() == 2) ? List.of("port 80 is taken") : List.of())
			.start();
		Node other = this.mesh.node("other", "east", "a").start();
		DistributionTests.await(() -> picky.version() == 1 && other.version() == 1);
		change(1);
		DistributionTests.await(() -> other.version() == 2);
		DistributionTests.await(() -> root.distribution()
			.status()
			.rejected()
			.equals(List.of(new RejectedVersion("picky", 2, "port 80 is taken"))));
		Assert.assertEquals(picky.version(), 1);
		change(2);
		DistributionTests.await(() -> picky.version() == 3);
		DistributionTests.await(() -> root.distribution().status().rejected().isEmpty());
	}

	@Test
	public void nodesFindARootThatTheirSettingsDoNotName() {
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
	public void versionIsInForceOnlyWhenEveryAttachedNodeServesIt() {
		startTree(3);
		for (int round = 0; round < 20; round++) {
			change(50 + round);
			for (Root root : this.mesh.roots()) {
				Assert.assertTrue(root.distribution().awaitInForce(this.configuration.version(), IN_FORCE_MILLIS));
				for (Node node : this.mesh.nodes()) {
					Assert.assertEquals(node.version(), this.configuration.version(), node.id);
				}
			}
		}
	}

	@Test
	public void nodeThatHangsIsWaitedForUntilItIsLost() {
		Root root = startTree(1);
		Node hanging = relay();
		hanging.hang();
		change(80);
		Assert.assertFalse(root.distribution().awaitInForce(this.configuration.version(), 0));
		Assert.assertTrue(root.distribution().awaitInForce(this.configuration.version(), IN_FORCE_MILLIS));
		DistributionTests.await(() -> this.mesh.nodes()
			.stream()
			.allMatch((node) -> node == hanging || node.version() == this.configuration.version()));
	}

	@Test
	public void controlMemberThatHangsIsNotWaitedFor() {
		this.mesh = new LocalMesh(slowClock()).withRelays();
		startTree(3);
		Root hanging = this.mesh.roots().get(1);
		Root other = this.mesh.roots().getFirst();
		hanging.hang();
		DistributionTests.await(() -> this.mesh.nodes().stream().noneMatch((node) -> rootOf(node).equals(hanging.id)));
		change(90);
		DistributionTests
			.await(() -> this.mesh.nodes().stream().allMatch((node) -> node.version() == this.configuration.version()));
		Assert.assertTrue(other.distribution().awaitInForce(this.configuration.version(), IN_FORCE_MILLIS),
				"operators wait for a member that is lost");
	}

	@Test
	public void isolatedRootIsLeft() {
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

	// On a busy machine a peer may be silent for longer than the limit. Where the loss of
	// a connection would change the verdict, the clock runs at a fifth of its speed.
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
			.split(Map.of("v1", ServiceConfiguration.WHOLE_SHARE))
			.build();
		this.configuration = this.configuration.next(this.configuration.version() + 1, List.of(service), List.of());
		this.mesh.roots().forEach((root) -> root.distribution().publish(this.configuration));
	}

	private static long calls(Root root) {
		return EvidenceSenderTests.calls(root.evidence.stream().reduce(Evidence.NONE, Evidence::plus));
	}

}
