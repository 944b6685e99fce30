package io.lavenderroad.bench.moves;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import io.lavenderroad.control.moves.MoveController;
import io.lavenderroad.control.moves.MoveStore;
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

/**
 * Simulates one move with the real controller and policy at one tick per second. Only the
 * outcomes of calls are sampled. A share that is decided in one tick becomes active two
 * ticks later.
 */
final class MoveRun implements MoveStore {

	private static final String SERVICE = "service";

	private static final String OLD_VERSION = "v1";

	private static final String NEW_VERSION = "v2";

	private static final long TICK_MILLIS = 1_000;

	/**
	 * Ticks until a decided share is active, for commit and distribution.
	 */
	private static final int TICKS_UNTIL_ACTIVE = 2;

	private static final double LATENCY_SIGMA = 0.5;

	private static final double MEAN_LATENCY_MILLIS = 34;

	private static final double COLD_SLOWDOWN = 4;

	private static final double FULL_QUEUE_SLOWDOWN = 3.5;

	private static final double OVERLOAD_TIMEOUT_SHARE = 0.02;

	private static final long SURGE_MILLIS = 120_000;

	private static final double FAILED_VM_SHARE = 0.33;

	/**
	 * Three seconds of the lease and one second until its expiry is distributed.
	 */
	private static final long LEASE_MILLIS = 4_000;

	private static final List<RouteLoad> ROUTES = List.of(new RouteLoad("read", 0.6, 20),
			new RouteLoad("write", 0.2995, 40), new RouteLoad("report", 0.1, 60), new RouteLoad("rare", 0.0005, 40));

	private static final String BAD_ROUTE = "report";

	private final ServiceSize size;

	private final VersionKind kind;

	private final long deadlineMillis;

	private final OutcomeSampler sampler;

	private final ServiceConfiguration configuration;

	private final List<Endpoint> endpoints = new ArrayList<>();

	private final int[] shares = new int[TICKS_UNTIL_ACTIVE + 1];

	private final double oldErrorShare;

	private final double newErrorRatio;

	private final double newLatencyRatio;

	private final double severity;

	private final double slowdown;

	private final double onset;

	private final double badShareThreshold;

	private final double dependencyStart;

	private final double dependencyLength;

	private final double dependencyErrors;

	private final double coldSeconds;

	private final List<Double> vmFailures = new ArrayList<>();

	private MoveState move;

	private double noise;

	private long firstNewMillis = -1;

	private long firstBadMillis = -1;

	private long lastBadMillis = -1;

	private long badCalls;

	private long allCalls;

	private long callsUntilVerdict;

	private MoveRun(ServiceSize size, VersionKind kind, String policy, ThinEvidence thin, long minutes, long seed) {
		this.size = size;
		this.kind = kind;
		this.deadlineMillis = minutes * 60_000;
		this.sampler = new OutcomeSampler(new SplittableRandom(seed));
		MoveParameters parameters = new MoveParameters("move", OLD_VERSION, NEW_VERSION, this.deadlineMillis, thin,
				policy);
		this.move = MoveState.started(SERVICE, parameters, 0);
		this.configuration = ServiceConfiguration.builder(SERVICE)
			.routes(ROUTES.stream().map((route) -> new Route(route.name(), "*", "/", true, 1_000, 1_000)).toList())
			.build();
		for (int worker = 0; worker < size.workers(); worker++) {
			this.endpoints.add(endpoint(OLD_VERSION, worker));
			this.endpoints.add(endpoint(NEW_VERSION, worker));
		}
		this.oldErrorShare = this.sampler.logUniform(0.0002, 0.005);
		this.newErrorRatio = this.sampler.uniform(0.8, 1.25);
		this.newLatencyRatio = this.sampler.uniform(0.9, 1.1);
		this.severity = this.sampler.uniform((kind == VersionKind.BAD_ROUTE) ? 0.3 : 0.1, 1);
		this.slowdown = this.sampler.uniform(2, 5);
		this.onset = this.sampler.uniform(0.1, 0.9) * this.deadlineMillis;
		this.badShareThreshold = this.sampler.uniform(2_000, 8_000);
		this.dependencyStart = kind.isBad() ? 0 : this.sampler.uniform(0, 0.8) * this.deadlineMillis;
		this.dependencyLength = this.sampler.uniform(0.05, 0.2) * this.deadlineMillis;
		this.dependencyErrors = this.sampler.uniform(0.1, 0.6);
		this.coldSeconds = this.sampler.uniform(20, 50);
		for (int failure = 0; failure < 3; failure++) {
			this.vmFailures.add(this.sampler.uniform(0, 1) * this.deadlineMillis);
		}
	}

	/**
	 * Simulates one move.
	 * @param kernel provides the policies
	 * @param size size of the service
	 * @param kind kind of the new version
	 * @param policy name of the policy
	 * @param thin action of the policy without enough evidence
	 * @param minutes minutes from the start to the deadline
	 * @param leaderSeconds seconds after which a new leader takes over
	 * @param seed seed of the sampled outcomes
	 * @return result of the run
	 */
	static RunResult run(Kernel kernel, ServiceSize size, VersionKind kind, String policy, ThinEvidence thin,
			long minutes, long leaderSeconds, long seed) {
		return new MoveRun(size, kind, policy, thin, minutes, seed).run(kernel, leaderSeconds);
	}

	private RunResult run(Kernel kernel, long leaderSeconds) {
		MoveController controller = new MoveController(this, kernel);
		long endMillis = this.deadlineMillis + TICK_MILLIS * TICKS_UNTIL_ACTIVE;
		long warnedMillis = -1;
		for (long now = TICK_MILLIS; now <= endMillis; now += TICK_MILLIS) {
			int share = this.shares[0];
			if (now / TICK_MILLIS % leaderSeconds == 0) {
				controller = new MoveController(this, kernel);
			}
			controller.add(sampleEvidence(now, share));
			controller.tick(now);
			System.arraycopy(this.shares, 1, this.shares, 0, this.shares.length - 1);
			this.shares[this.shares.length - 1] = this.move.shareBasisPoints();
			if (warnedMillis < 0 && !this.move.warnings().isEmpty()) {
				warnedMillis = now;
			}
			if (this.move.status() == MoveStatus.TAKEN_BACK && this.shares[0] == 0) {
				break;
			}
		}
		return new RunResult(this.move.status(), this.move.finishedMillis(), warnedMillis, this.firstNewMillis,
				this.firstBadMillis, this.lastBadMillis, ratio(this.badCalls, this.callsUntilVerdict),
				ratio(this.badCalls, this.size.callsPerSecond() * this.deadlineMillis / 1_000), this.move.reason(),
				this.move.statistics(), controller.decisionReason(this.move.id()));
	}

	private static double ratio(double part, double whole) {
		return (whole > 0) ? part / whole : 0;
	}

	private Evidence sampleEvidence(long now, int share) {
		this.noise = 0.9 * this.noise + 0.1 * this.sampler.gaussian();
		if (share > 0 && this.firstNewMillis < 0) {
			this.firstNewMillis = now;
		}
		boolean bad = isBadNow(now, share);
		if (bad && share > 0) {
			this.firstBadMillis = (this.firstBadMillis < 0) ? now : this.firstBadMillis;
			this.lastBadMillis = now;
		}
		double rate = callsPerSecond(now);
		double newLoad = load(rate * share / ServiceConfiguration.FULL_SHARE_BASIS_POINTS);
		double oldLoad = load(rate * (ServiceConfiguration.FULL_SHARE_BASIS_POINTS - share)
				/ ServiceConfiguration.FULL_SHARE_BASIS_POINTS);
		Map<ObservationKey, Observations> observations = new HashMap<>();
		for (RouteLoad route : ROUTES) {
			long calls = this.sampler.poisson(rate * route.weight() * TICK_MILLIS / 1_000);
			long newCalls = this.sampler.binomial(calls, share / (double) ServiceConfiguration.FULL_SHARE_BASIS_POINTS);
			addIfAny(observations, route, OLD_VERSION, outcome(calls - newCalls, oldErrors(now, oldLoad),
					route.medianMillis() * dependencySlowdown(now) * slowdown(oldLoad), oldLoad));
			Observations outcome = outcome(newCalls, newErrors(now, newLoad, bad, route),
					route.medianMillis() * dependencySlowdown(now) * slowdown(newLoad) * newSlowdown(now, bad),
					newLoad);
			addIfAny(observations, route, NEW_VERSION, vmFails(now) ? withFailedVm(outcome) : outcome);
			count(calls, newCalls, bad);
		}
		return Evidence.of(observations);
	}

	private void count(long calls, long newCalls, boolean bad) {
		this.allCalls += calls;
		this.badCalls += bad ? newCalls : 0;
		if (!this.move.status().isFinal() || bad && newCalls > 0) {
			this.callsUntilVerdict = this.allCalls;
		}
	}

	private static void addIfAny(Map<ObservationKey, Observations> observations, RouteLoad route, String version,
			Observations outcome) {
		if (outcome.calls() + outcome.refusals() > 0) {
			observations.put(new ObservationKey(SERVICE, route.name(), version), outcome);
		}
	}

	private Observations outcome(long calls, double errorShare, double medianMillis, double load) {
		long refusals = this.sampler.binomial(calls, (load > 1) ? 1 - 1 / load : 0);
		long run = calls - refusals;
		LatencyHistogram latencies = this.sampler.latencies(run, medianMillis, LATENCY_SIGMA);
		return new Observations(run, this.sampler.binomial(run, errorShare), refusals, latencies);
	}

	// Calls to a failed VM count as refused until its lease expires.
	private Observations withFailedVm(Observations outcome) {
		long refused = this.sampler.binomial(outcome.calls(), FAILED_VM_SHARE);
		LatencyHistogram latencies = LatencyHistogram.EMPTY;
		return new Observations(outcome.calls() - refused, Math.min(outcome.errors(), outcome.calls() - refused),
				outcome.refusals() + refused, latencies);
	}

	private boolean vmFails(long now) {
		return this.kind == VersionKind.GOOD_VMS_FAIL
				&& this.vmFailures.stream().anyMatch((from) -> now >= from && now < from + LEASE_MILLIS);
	}

	private boolean isBadNow(long now, int share) {
		return switch (this.kind) {
			case FAILING_AT_ONCE, SLOW_AT_ONCE, BAD_ROUTE, BAD_COLD, BAD_DEPENDENCY -> true;
			case FAILING_LATE, SLOW_LATE -> now >= this.onset;
			case BAD_UNDER_LOAD -> share >= this.badShareThreshold;
			default -> false;
		};
	}

	private double oldErrors(long now, double load) {
		double usual = this.oldErrorShare * Math.exp(this.noise);
		double timeouts = (load > 1) ? OVERLOAD_TIMEOUT_SHARE : 0;
		return Math.min(1, usual + timeouts + (dependencyFails(now) ? this.dependencyErrors : 0));
	}

	private double newErrors(long now, double load, boolean bad, RouteLoad route) {
		double usual = this.oldErrorShare * (this.newErrorRatio - 1) * Math.exp(this.noise) + oldErrors(now, load);
		boolean fails = bad && (this.kind.isFailing() || this.kind == VersionKind.BAD_UNDER_LOAD
				|| this.kind == VersionKind.BAD_ROUTE && route.name().equals(BAD_ROUTE));
		return Math.clamp(usual + (fails ? this.severity : 0), 0, 1);
	}

	private double newSlowdown(long now, boolean bad) {
		boolean cold = this.kind.hasColdStart() && this.firstNewMillis >= 0
				&& now - this.firstNewMillis < this.coldSeconds * 1_000;
		boolean slow = bad && (this.kind.isSlow() || this.kind == VersionKind.BAD_UNDER_LOAD);
		return this.newLatencyRatio * (cold ? COLD_SLOWDOWN : 1) * (slow ? this.slowdown : 1);
	}

	private boolean dependencyFails(long now) {
		return this.kind.hasDependencyFailure() && now >= this.dependencyStart
				&& now < this.dependencyStart + this.dependencyLength;
	}

	private double dependencySlowdown(long now) {
		return dependencyFails(now) ? 2 : 1;
	}

	private double callsPerSecond(long now) {
		double usual = this.size.callsPerSecond() * (1 + 0.2 * Math.sin(now / 400_000.0));
		boolean surge = this.kind == VersionKind.GOOD_SURGE && now >= this.dependencyStart
				&& now < this.dependencyStart + SURGE_MILLIS;
		return surge ? 3 * this.size.workers() * ServiceSize.SLOTS * 1_000 / MEAN_LATENCY_MILLIS : usual;
	}

	private double load(double callsPerSecond) {
		return callsPerSecond * MEAN_LATENCY_MILLIS / 1_000 / (this.size.workers() * ServiceSize.SLOTS);
	}

	private static double slowdown(double load) {
		return (load > 1) ? FULL_QUEUE_SLOWDOWN : 1 + 0.5 * load * load;
	}

	private static Endpoint endpoint(String version, int worker) {
		return new Endpoint(version + "-" + worker, 0, 1, EndpointState.READY, SERVICE, version, "region", "domain",
				"127.0.0.1:1", ServiceSize.SLOTS, 100, "control");
	}

	@Override
	public Collection<MoveState> moves() {
		return List.of(this.move);
	}

	@Override
	public Optional<ServiceConfiguration> service(String service) {
		return Optional.of(this.configuration);
	}

	@Override
	public List<Endpoint> endpoints(String service) {
		return this.endpoints;
	}

	@Override
	public boolean propose(MoveState expected, MoveState next) {
		if (!expected.equals(this.move)) {
			return false;
		}
		this.move = next;
		return true;
	}

	/**
	 * Load on one route.
	 *
	 * @param name name of the route
	 * @param weight share of the calls of the service
	 * @param medianMillis median latency of the old version without load
	 */
	private record RouteLoad(String name, double weight, double medianMillis) {
	}

}
