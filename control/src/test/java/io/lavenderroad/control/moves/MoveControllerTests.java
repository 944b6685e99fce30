package io.lavenderroad.control.moves;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import io.lavenderroad.core.kernel.Kernel;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.EndpointState;
import io.lavenderroad.model.Evidence;
import io.lavenderroad.model.LatencyHistogram;
import io.lavenderroad.model.MoveParameters;
import io.lavenderroad.model.MoveState;
import io.lavenderroad.model.MoveStatus;
import io.lavenderroad.model.ObservationKey;
import io.lavenderroad.model.Observations;
import io.lavenderroad.model.Route;
import io.lavenderroad.model.ServiceConfiguration;
import io.lavenderroad.model.ThinEvidence;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against moves that repeat a step, exceed the capacity of the new version, raise
 * the share without evidence, miss a fault, or miss a deadline without a warning.
 */
public class MoveControllerTests {

	private static final long DEADLINE = 1_800_000;

	private final Kernel kernel = Kernel.load();

	private FakeStore store;

	private Random random;

	private long now;

	private double newErrorShare;

	@BeforeMethod
	public void reset() {
		this.store = new FakeStore();
		this.random = new Random(20261204);
		this.now = 0;
		this.newErrorShare = 0.002;
	}

	@Test
	public void goodVersionIsDoneByTheDeadline() {
		this.store.add("move", ThinEvidence.HOLD, "sequential");
		run(controller(), DEADLINE, 300);
		Assert.assertEquals(move().status(), MoveStatus.DONE, move().reason());
		Assert.assertTrue(move().finishedMillis() <= DEADLINE);
		Assert.assertEquals(move().shareBasisPoints(), 10_000);
		Assert.assertEquals(move().warnings(), List.of());
	}

	@Test
	public void newLeaderRepeatsNoStepAndNeitherLowersNorRaisesTheShareWithoutEvidence() {
		this.store.add("move", ThinEvidence.HOLD, "sequential");
		MoveController controller = controller();
		run(controller, DEADLINE / 3, 300);
		int step = move().step();
		Assert.assertTrue(step >= 2);
		for (int leader = 0; leader < 20; leader++) {
			// Each leader steps down before it has collected enough evidence for a
			// decision.
			run(controller(), 2_000, 300);
		}
		Assert.assertEquals(move().step(), step);
		run(controller(), DEADLINE, 300);
		Assert.assertEquals(move().status(), MoveStatus.DONE, move().reason());
		this.store.assertStepsInOrder();
	}

	@Test
	public void failureAfterTheFullShiftIsWithdrawn() {
		this.store.add("move", ThinEvidence.HOLD, "sequential");
		MoveController controller = controller();
		runUntil(controller, MoveStatus.WATCHING);
		run(controller, 120_000, 300);
		this.newErrorShare = 0.3;
		run(controller, 30_000, 300);
		Assert.assertEquals(move().status(), MoveStatus.TAKEN_BACK);
		Assert.assertEquals(move().shareBasisPoints(), 0);
		Assert.assertTrue(move().statistics().startsWith("errors new "), move().statistics());
		this.newErrorShare = 0;
		int step = move().step();
		run(controller, 600_000, 300);
		Assert.assertEquals(move().step(), step, "a withdrawn version was retried");
	}

	@Test
	public void versionThatLosesAllItsServersIsWithdrawn() {
		this.store.add("move", ThinEvidence.HOLD, "sequential");
		MoveController controller = controller();
		runUntil(controller, MoveStatus.WATCHING);
		this.store.newServers = 0;
		run(controller, 10_000, 300);
		Assert.assertEquals(move().status(), MoveStatus.WATCHING, "withdrawn while endpoints may be unknown");
		run(controller, 10_000, 300);
		Assert.assertEquals(move().status(), MoveStatus.TAKEN_BACK);
	}

	@Test
	public void newLeaderFindsAFaultThatItsPredecessorDidNotReport() {
		this.store.add("move", ThinEvidence.HOLD, "sequential");
		runUntil(controller(), MoveStatus.WATCHING);
		this.newErrorShare = 0.3;
		run(controller(), 60_000, 300);
		Assert.assertEquals(move().status(), MoveStatus.TAKEN_BACK);
	}

	@Test
	public void shareStaysWithinTheReadySlots() {
		this.store.newServers = 1;
		this.store.add("move", ThinEvidence.PROCEED, "sequential");
		run(controller(), DEADLINE, 600);
		// One server has 12 slots; 600 calls of 20 ms keep about 12 of them busy.
		Assert.assertTrue(move().shareBasisPoints() > 5_000, move().toString());
		Assert.assertTrue(move().shareBasisPoints() < 9_500, move().toString());
		Assert.assertTrue(move().warnings().getFirst().startsWith("deadline at risk: the ready servers"),
				move().toString());
	}

	@Test
	public void shareStaysZeroWithoutServersOfTheNewVersion() {
		this.store.newServers = 0;
		this.store.add("move", ThinEvidence.PROCEED, "sequential");
		run(controller(), DEADLINE / 5, 300);
		Assert.assertEquals(move().shareBasisPoints(), 0);
		Assert.assertEquals(move().warnings(), List.of("deadline at risk: no server of the new version is ready"));
	}

	@Test
	public void holdDoesNotRaiseTheShareWithoutEvidenceAndWarnsEarly() {
		this.store.add("move", ThinEvidence.HOLD, "sequential");
		run(controller(), DEADLINE / 10, 1);
		Assert.assertTrue(move().warnings().getFirst().startsWith("deadline at risk: the evidence needs"));
		run(controller(), 2 * DEADLINE, 1);
		Assert.assertFalse(move().status().isFinal());
		Assert.assertTrue(move().shareBasisPoints() < 100, "share rose without evidence: " + move());
	}

	@Test
	public void proceedMeetsTheDeadlineWithoutCallsAndWarnsEarly() {
		this.store.add("move", ThinEvidence.PROCEED, "sequential");
		run(controller(), DEADLINE / 10, 0);
		Assert.assertEquals(move().warnings().size(), 1);
		run(controller(), DEADLINE - this.now, 0);
		Assert.assertEquals(move().status(), MoveStatus.DONE);
		this.store.assertStepsInOrder();
	}

	@Test
	public void refusedProposalIsDecidedAgain() {
		this.store.add("move", ThinEvidence.HOLD, "sequential");
		this.store.refuseEvery = 2;
		run(controller(), DEADLINE, 300);
		Assert.assertEquals(move().status(), MoveStatus.DONE, move().reason());
		this.store.assertStepsInOrder();
	}

	@Test
	public void moveWithAnUnknownPolicyDoesNotStopTheOthers() {
		this.store.add("broken", ThinEvidence.HOLD, "missing");
		this.store.add("move", ThinEvidence.HOLD, "linear");
		run(controller(), DEADLINE + 1_000, 300);
		Assert.assertEquals(move().status(), MoveStatus.DONE);
		Assert.assertEquals(this.store.moves.get("broken").step(), 0);
		Assert.assertEquals(this.store.moves.get("broken").warnings(),
				List.of("move policy 'missing' is not registered; known are [linear, sequential, threshold]"));
	}

	private MoveController controller() {
		return new MoveController(this.store, this.kernel);
	}

	private MoveState move() {
		return this.store.moves.get("move");
	}

	private void runUntil(MoveController controller, MoveStatus status) {
		while (move().status() != status && this.now < DEADLINE) {
			run(controller, 1_000, 300);
		}
		Assert.assertEquals(move().status(), status);
	}

	private void run(MoveController controller, long millis, int callsPerSecond) {
		long end = this.now + millis;
		while (this.now < end) {
			this.now += 1_000;
			controller.add(draw(callsPerSecond));
			controller.tick(this.now);
		}
	}

	private Evidence draw(int calls) {
		int newCalls = draw(calls, move().shareBasisPoints() / 10_000.0);
		Map<ObservationKey, Observations> observations = new HashMap<>();
		observations.put(new ObservationKey("shop", "read", "v1"), outcome(calls - newCalls, 0.002));
		observations.put(new ObservationKey("shop", "read", "v2"), outcome(newCalls, this.newErrorShare));
		return Evidence.of(observations);
	}

	private Observations outcome(int calls, double errorShare) {
		long[] counts = new long[LatencyHistogram.BUCKETS];
		counts[LatencyHistogram.bucketOf(20)] = calls;
		return new Observations(calls, draw(calls, errorShare), 0, LatencyHistogram.of(counts));
	}

	private int draw(int trials, double probability) {
		int count = 0;
		for (int trial = 0; trial < trials; trial++) {
			count += (this.random.nextDouble() < probability) ? 1 : 0;
		}
		return count;
	}

	/**
	 * Store that keeps the moves in memory.
	 */
	private static final class FakeStore implements MoveStore {

		private final Map<String, MoveState> moves = new HashMap<>();

		private final List<MoveState> history = new ArrayList<>();

		private int newServers = 4;

		private int refuseEvery;

		private int proposals;

		void add(String id, ThinEvidence thinEvidence, String policy) {
			this.moves.put(id,
					MoveState.started("shop", new MoveParameters(id, "v1", "v2", DEADLINE, thinEvidence, policy), 0));
		}

		void assertStepsInOrder() {
			int step = 0;
			int share = 0;
			for (MoveState state : this.history) {
				Assert.assertTrue(state.step() == step || state.step() == step + 1, state.toString());
				Assert.assertTrue(state.shareBasisPoints() >= share, "went back: " + state);
				step = state.step();
				share = state.shareBasisPoints();
			}
		}

		@Override
		public Collection<MoveState> moves() {
			return this.moves.values();
		}

		@Override
		public Optional<ServiceConfiguration> service(String service) {
			return Optional.of(ServiceConfiguration.builder(service)
				.routes(List.of(new Route("read", "*", "/", true, 1_000, 1_000)))
				.build());
		}

		@Override
		public List<Endpoint> endpoints(String service) {
			List<Endpoint> endpoints = new ArrayList<>();
			for (int server = 0; server < 4; server++) {
				endpoints.add(endpoint("v1", server));
			}
			for (int server = 0; server < this.newServers; server++) {
				endpoints.add(endpoint("v2", server));
			}
			return endpoints;
		}

		@Override
		public boolean propose(MoveState expected, MoveState next) {
			this.proposals++;
			boolean refused = this.refuseEvery > 0 && this.proposals % this.refuseEvery == 0;
			if (refused || !expected.equals(this.moves.get(expected.id()))) {
				return false;
			}
			this.moves.put(next.id(), next);
			this.history.add(next);
			return true;
		}

		private static Endpoint endpoint(String version, int server) {
			return new Endpoint(version + server, 0, 1, EndpointState.READY, "shop", version, "region", "domain",
					"127.0.0.1:1", 12, 100, "control");
		}

	}

}
