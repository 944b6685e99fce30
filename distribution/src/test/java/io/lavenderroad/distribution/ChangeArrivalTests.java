package io.lavenderroad.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import io.lavenderroad.core.wire.MessageCatalog;
import io.lavenderroad.distribution.DistributionMessages.Delta;
import io.lavenderroad.distribution.DistributionMessages.Hop;
import io.lavenderroad.model.CallRules;
import io.lavenderroad.model.ConfigurationEdit;
import io.lavenderroad.model.HostRoute;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.Scope;
import io.lavenderroad.model.ServiceConfiguration;
import io.lavenderroad.model.binding.ConfigurationBinding;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a change that takes longer to cross the links of the tree than the time
 * within which it has to become active. The shape of the tree results from the placement
 * decisions, the size of the change from its encoding; links and delays are computed.
 */
public class ChangeArrivalTests {

	private static final int SEEDS = 3;

	private static final int ROUTES = 1_600;

	private static final double NODE_BITS_PER_MILLI = 2_000;

	private static final double ROOT_BITS_PER_MILLI = 170_000;

	private static final double HOP_MILLIS = 10;

	@DataProvider
	Object[][] meshes() {
		return new Object[][] { { 10, 3, 5, 2_000 }, { 58, 3, 5, 2_000 }, { 67, 4, 5, 2_000 }, { 300, 3, 5, 2_000 },
				{ 7_800, 19, 7, 5_000 } };
	}

	@Test(dataProvider = "meshes")
	public void largeChangeReachesEveryNodeOverSlowLinksInTime(int nodes, int failureDomains, int roots,
			long boundMillis) {
		int bytes = encodedBytes(largeChange());
		for (int seed = 0; seed < 10; seed++) {
			List<Process> tree = grow(nodes, failureDomains, roots, new Random(seed));
			double last = tree.stream().mapToDouble((root) -> root.lastArrivalMillis(bytes)).max().orElseThrow();
			Assert.assertTrue(last <= boundMillis, "seed " + seed + ": the last node has " + bytes + " bytes after "
					+ Math.round(last) + " ms, " + boundMillis + " ms are allowed");
		}
	}

	private static List<Process> grow(int nodes, int failureDomains, int rootCount, Random random) {
		List<Process> roots = new ArrayList<>();
		for (int index = 0; index < rootCount; index++) {
			roots.add(new Process("root-" + index, "", Placement.ROOT, ROOT_BITS_PER_MILLI));
		}
		for (int index = 0; index < nodes; index++) {
			Process node = new Process("node-" + index, "domain-" + index % failureDomains, Placement.RELAY,
					NODE_BITS_PER_MILLI);
			attach(node, roots, random);
		}
		return roots;
	}

	private static void attach(Process node, List<Process> roots, Random random) {
		List<Process> path = new ArrayList<>();
		path.add(roots.get(random.nextInt((roots.size() > SEEDS && node.isEarly()) ? SEEDS : roots.size())));
		Placement.Decision decision = path.getLast().decide(node);
		while (!decision.accepted()) {
			path.add(path.getLast().child(decision.targets().getFirst()));
			decision = path.getLast().decide(node);
		}
		path.getLast().children.add(node);
		path.forEach((process) -> process.subtreeNodes++);
	}

	private static Delta largeChange() {
		Random random = new Random(1);
		ServiceConfiguration service = DistributionTests.service("huvo11a", 1_000, Set.of())
			.toBuilder()
			.openToCallers(true)
			.build();
		MeshConfiguration before = MeshConfiguration.EMPTY.next(1, List.of(service), List.of());
		List<HostRoute> routes = new ArrayList<>();
		for (int index = 0; index < ROUTES; index++) {
			String name = "r-" + word(random);
			routes.add(HostRoute.builder(name)
				.match("ficu95.example", "/" + word(random) + "/")
				.rules(new CallRules(name, true, 1_200, 600, 2, 2, 64 * 1024 * 1024))
				.service("huvo11a")
				.build());
		}
		MeshConfiguration after = before.next(2,
				new ConfigurationEdit(List.of(), List.of(), routes, List.of(), Optional.empty()));
		return new Delta(after.deltaFrom(1, Set.of("huvo11a"), Scope.everything()).orElseThrow());
	}

	private static String word(Random random) {
		return Long.toString(Math.abs(random.nextLong()), Character.MAX_RADIX).substring(0, 7);
	}

	private static int encodedBytes(Delta delta) {
		MessageCatalog catalog = MessageCatalog.builder().addAll(DistributionMessages.types()).build();
		return ConfigurationBinding.toBytes(delta, catalog::encode).length;
	}

	private static final class Process {

		private final Hop hop;

		private final String failureDomain;

		private final Placement placement;

		private final double bitsPerMilli;

		private final List<Process> children = new ArrayList<>();

		private int subtreeNodes = 1;

		Process(String id, String failureDomain, Placement placement, double bitsPerMilli) {
			this.hop = new Hop(id, "at-" + id);
			this.failureDomain = failureDomain;
			this.placement = placement;
			this.bitsPerMilli = bitsPerMilli;
		}

		// When a mesh is first started, the settings of all nodes list the same three
		// roots.
		boolean isEarly() {
			return this.hop.id().hashCode() % 2 == 0;
		}

		Placement.Decision decide(Process caller) {
			List<Placement.ChildState> childStates = this.children.stream()
				.map((child) -> new Placement.ChildState(child.hop, child.failureDomain, child.subtreeNodes))
				.toList();
			return this.placement.decide(caller.hop.id(), caller.failureDomain, Set.of(), childStates);
		}

		Process child(Hop target) {
			return this.children.stream().filter((child) -> child.hop.equals(target)).findFirst().orElseThrow();
		}

		// The children share the link, so all of them count as served when the last one
		// is.
		double lastArrivalMillis(int bytes) {
			double sentMillis = HOP_MILLIS + this.children.size() * bytes * Byte.SIZE / this.bitsPerMilli;
			return this.children.stream()
				.mapToDouble((child) -> child.lastArrivalMillis(bytes))
				.max()
				.stream()
				.map((below) -> sentMillis + below)
				.findFirst()
				.orElse(0);
		}

	}

}
