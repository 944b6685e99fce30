package io.lavenderroad.policy.moves;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.lavenderroad.model.MoveState;
import io.lavenderroad.model.MoveStatus;
import io.lavenderroad.model.Observations;
import io.lavenderroad.model.ServiceConfiguration;
import io.lavenderroad.model.ThinEvidence;

/**
 * Default move policy. The ramp is planned backwards from the deadline, each step
 * requires evidence, and the versions are compared by {@link SequentialComparison}. It
 * withdraws a good version with a probability of at most
 * {@link MoveEvidence#FALSE_ALARM_RATE}, and a stage misses a version with a probability
 * of about 1% if its error share exceeds the tolerated one by the difference that the
 * stage must rule out.
 */
public final class SequentialMovePolicy implements MovePolicy {

	/**
	 * Prefix of the warning that the move may miss its deadline.
	 */
	public static final String DEADLINE_AT_RISK = "deadline at risk: ";

	/**
	 * Evidence against the new version above which its share is not raised. A good
	 * version reaches it with a probability of at most 10%.
	 */
	private static final double SUSPICION_THRESHOLD = 10;

	/**
	 * Time after which a version that lost its servers is withdrawn: three times the 5 s
	 * within which endpoints are discovered after a leader change.
	 */
	private static final long LOST_SERVERS_TIMEOUT_MILLIS = 15_000;

	/**
	 * Part of the time to the deadline after which missing servers cause a warning.
	 */
	private static final double SERVER_WARNING_PART = 0.1;

	@Override
	public MoveDecision decide(MoveSituation situation) {
		if (situation.move().shareBasisPoints() > 0 && situation.evidence().comparison().isBad()) {
			return withdraw(situation);
		}
		Optional<String> early = EarlyWithdrawal.reason(situation);
		if (situation.move().shareBasisPoints() > 0 && early.isPresent()) {
			return new MoveDecision.Withdraw(early.get(), "", "");
		}
		if (situation.evidence().insufficientCapacityMillis() >= LOST_SERVERS_TIMEOUT_MILLIS) {
			return new MoveDecision.Withdraw("the servers of the new version no longer carry its share", "",
					"ready servers new " + situation.newServers().readyServers() + " old "
							+ situation.oldServers().readyServers());
		}
		RampPlan plan = new RampPlan(situation);
		Optional<MoveDecision> warning = deadlineWarning(situation, plan);
		if (warning.isPresent()) {
			return warning.get();
		}
		return (situation.move().status() == MoveStatus.WATCHING) ? watch(situation, plan) : ramp(situation, plan);
	}

	private static MoveDecision withdraw(MoveSituation situation) {
		SequentialComparison comparison = situation.evidence().comparison();
		Signal signal = comparison.strongestSignal();
		String route = comparison.strongestRoute();
		String scope = route.isEmpty() ? "all routes" : "route " + route;
		String reason = "the new version has more " + signal.label() + " on " + scope;
		if (situation.oldServers().acceptWork()) {
			return new MoveDecision.Withdraw(reason, route, statistics(situation, signal, route));
		}
		return warnOnce(situation.move(), "cannot take back: ",
				reason + ", but the old version has no server that takes work")
			.orElse(new MoveDecision.Hold("no server of the old version takes work"));
	}

	private static Optional<MoveDecision> deadlineWarning(MoveSituation situation, RampPlan plan) {
		MoveState move = situation.move();
		if (move.status() == MoveStatus.WATCHING) {
			return Optional.empty();
		}
		long elapsed = situation.nowMillis() - move.startedMillis();
		double available = plan.latestFullShiftMillis() - situation.nowMillis();
		long total = move.parameters().deadlineMillis() - move.startedMillis();
		boolean serversExpected = elapsed > total * SERVER_WARNING_PART;
		if (serversExpected && situation.newServers().readyServers() == 0) {
			return warnOnce(move, DEADLINE_AT_RISK, "no server of the new version is ready");
		}
		if (serversExpected && plan.slotLimit() < RampPlan.fullShare()) {
			return warnOnce(move, DEADLINE_AT_RISK,
					"the ready servers of the new version carry only " + plan.slotLimit() / 100 + "% of the calls");
		}
		double required = plan.remainingRequiredMillis();
		boolean observed = situation.nowMillis() - situation.evidence().fromMillis() >= plan.minimumDwellMillis();
		if (observed && required > available) {
			String action = (move.parameters().thinEvidence() == ThinEvidence.PROCEED)
					? "the ramp will go on without enough evidence" : "the ramp will wait for evidence";
			return warnOnce(move, DEADLINE_AT_RISK,
					String.format("the evidence needs %s at %.1f calls/s, %.0f s are left for it; %s",
							duration(required), situation.callsPerSecond(), Math.max(0, available / 1_000), action));
		}
		return Optional.empty();
	}

	private static MoveDecision watch(MoveSituation situation, RampPlan plan) {
		MoveState move = situation.move();
		long watched = situation.nowMillis() - move.stepMillis();
		boolean deadlineReached = situation.nowMillis() >= move.parameters().deadlineMillis() - plan.marginMillis();
		boolean deadlineDriven = deadlineReached && move.parameters().thinEvidence() == ThinEvidence.PROCEED;
		if (watched < plan.minimumWatchMillis() && !deadlineDriven) {
			return new MoveDecision.Hold("watching the new version");
		}
		if (isSuspicious(situation) && !deadlineDriven) {
			return new MoveDecision.Hold("comparing the versions more closely");
		}
		if (deadlineReached || watched >= RampPlan.MAXIMUM_WATCH_MILLIS) {
			return new MoveDecision.Done("all traffic is on the new version" + lowTrafficRoutes(situation, plan),
					statistics(situation, Signal.ERRORS, ""));
		}
		return new MoveDecision.Hold("watching the new version");
	}

	private static MoveDecision ramp(MoveSituation situation, RampPlan plan) {
		MoveState move = situation.move();
		if (situation.newServers().readyServers() == 0) {
			return new MoveDecision.Hold("no server of the new version is ready");
		}
		if (isSuspicious(situation)) {
			return new MoveDecision.Hold("comparing the versions more closely");
		}
		double elapsed = situation.nowMillis() - move.stepMillis();
		if (!mayStep(situation, plan, elapsed)) {
			return new MoveDecision.Hold("collecting evidence at the present share");
		}
		int next = plan.nextShareWithinSlots();
		if (next <= move.shareBasisPoints()) {
			return new MoveDecision.Hold("the ready servers of the new version carry no larger share");
		}
		if (next >= RampPlan.fullShare()) {
			return new MoveDecision.Watch(next, "the ramp is complete");
		}
		return new MoveDecision.NextShare(next, "nothing speaks against the new version");
	}

	private static boolean mayStep(MoveSituation situation, RampPlan plan, double elapsed) {
		if (situation.move().step() == 0) {
			return elapsed >= plan.minimumDwellMillis();
		}
		double available = plan.latestFullShiftMillis() - situation.nowMillis();
		boolean deadlineDriven = situation.move().parameters().thinEvidence() == ThinEvidence.PROCEED
				&& plan.remainingRequiredMillis() > available;
		if (deadlineDriven) {
			return elapsed >= plan.deadlineDrivenDwellMillis();
		}
		return elapsed >= plan.dwellMillis() && hasEvidence(situation, plan);
	}

	private static boolean hasEvidence(MoveSituation situation, RampPlan plan) {
		Observations observations = MoveEvidence.total(situation.sinceStep(), situation.move().parameters().to());
		if (observations.calls() < plan.requiredCalls()) {
			return false;
		}
		Map<String, VersionPair> routes = situation.evidence().pairs(situation.sinceStep());
		double needed = plan.requiredRouteCalls(routes.size());
		double expected = situation.callsPerSecond() * plan.dwellMillis() / 1_000 * situation.move().shareBasisPoints()
				/ ServiceConfiguration.FULL_SHARE_BASIS_POINTS;
		double all = routes.values().stream().mapToDouble(SequentialMovePolicy::calls).sum();
		// A route with too few calls for a verdict of its own within the stage does not
		// block the ramp.
		return routes.values()
			.stream()
			.noneMatch((pair) -> expected * calls(pair) / all >= 1.5 * needed && pair.newVersion().calls() < needed);
	}

	private static double calls(VersionPair pair) {
		return pair.oldVersion().calls() + pair.newVersion().calls();
	}

	private static boolean isSuspicious(MoveSituation situation) {
		return situation.move().shareBasisPoints() > 0
				&& situation.evidence().comparison().evidenceAgainst() >= SUSPICION_THRESHOLD;
	}

	private static String lowTrafficRoutes(MoveSituation situation, RampPlan plan) {
		Map<String, VersionPair> routes = situation.evidence().pairs(situation.sinceStart());
		double needed = plan.requiredRouteCalls(routes.size());
		List<String> lowTraffic = new ArrayList<>();
		routes.forEach((route, pair) -> {
			if (pair.newVersion().calls() < needed) {
				lowTraffic.add(route);
			}
		});
		return lowTraffic.isEmpty() ? ""
				: "; too few calls for a verdict of their own: " + String.join(", ", lowTraffic);
	}

	private static String statistics(MoveSituation situation, Signal signal, String route) {
		SequentialComparison comparison = situation.evidence().comparison();
		long[] counts = new long[4];
		situation.evidence().pairs(situation.sinceStep()).forEach((name, pair) -> {
			if (route.isEmpty() || route.equals(name)) {
				counts[0] += comparison.events(signal, name, pair.newVersion());
				counts[1] += SequentialComparison.trials(signal, pair.newVersion());
				counts[2] += comparison.events(signal, name, pair.oldVersion());
				counts[3] += SequentialComparison.trials(signal, pair.oldVersion());
			}
		});
		return signal.label() + " new " + counts[0] + "/" + counts[1] + " old " + counts[2] + "/" + counts[3];
	}

	private static Optional<MoveDecision> warnOnce(MoveState move, String kind, String text) {
		boolean alreadyWarned = move.warnings().stream().anyMatch((warning) -> warning.startsWith(kind));
		return alreadyWarned ? Optional.empty() : Optional.of(new MoveDecision.Warn(kind + text));
	}

	private static String duration(double millis) {
		return (millis > 1e9) ? "longer than can be planned" : String.format("%.0f s", millis / 1_000);
	}

}
