package io.lavenderroad.control.moves;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;

import io.lavenderroad.core.kernel.Kernel;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.Evidence;
import io.lavenderroad.model.MoveState;
import io.lavenderroad.model.MoveStatus;
import io.lavenderroad.model.Route;
import io.lavenderroad.model.ServiceConfiguration;
import io.lavenderroad.policy.moves.MoveDecision;
import io.lavenderroad.policy.moves.MoveEvidence;
import io.lavenderroad.policy.moves.MovePolicy;
import io.lavenderroad.policy.moves.MoveSituation;
import io.lavenderroad.policy.moves.VersionServers;
import org.tinylog.Logger;

/**
 * Decides on the next steps of the active moves. Only the leader runs a controller: it
 * creates one when it is elected and discards it when it steps down.
 *
 * <p>
 * The durable {@link MoveState} holds the step, the share and the times, so a new leader
 * continues from there: it repeats no step and reduces the share only by a withdrawal. It
 * has neither the evidence collected by its predecessor nor the recorded baseline of the
 * old version, and therefore stays at the current share until it has collected the
 * evidence of the current step itself. After the full shift it records a new baseline
 * from the small share that is left on the old version. The false-alarm rate applies to
 * each leader separately.
 *
 * <p>
 * Thread-safe. One lock guards the evidence; proposals are made without the lock, so that
 * evidence can be added in the meantime. {@link #tick(long)} must be called by one thread
 * at a time.
 */
public final class MoveController {

	private final MoveStore store;

	private final Function<String, MovePolicy> policies;

	private final ReentrantLock lock = new ReentrantLock();

	private final Map<String, MoveEvidence> evidence = new HashMap<>();

	private final Map<String, String> decisionReasons = new HashMap<>();

	private Evidence received = Evidence.NONE;

	public MoveController(MoveStore store, Kernel kernel) {
		this.store = store;
		this.policies = (name) -> kernel.find(MovePolicy.EXTENSION_POINT, name)
			.orElseGet(() -> unknownPolicy(name, kernel.names(MovePolicy.EXTENSION_POINT)));
	}

	/**
	 * Adds observations of nodes. Each observation must be added exactly once.
	 * @param increment observations since the last report
	 */
	public void add(Evidence increment) {
		this.lock.lock();
		try {
			this.received = this.received.plus(increment);
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Decides once on every active move. Called about once a second.
	 * @param nowMillis current time, milliseconds since the epoch
	 */
	public void tick(long nowMillis) {
		Evidence increment = drainReceived();
		List<String> active = new ArrayList<>();
		for (MoveState move : List.copyOf(this.store.moves())) {
			if (!move.status().isFinal()) {
				active.add(move.id());
				decideMove(move, increment, nowMillis);
			}
		}
		discardInactive(active);
	}

	/**
	 * Returns the reason of the last decision about a move, such as what it waits for.
	 * @param moveId id of the move
	 * @return a short sentence, empty if unknown
	 */
	public String decisionReason(String moveId) {
		this.lock.lock();
		try {
			return this.decisionReasons.getOrDefault(moveId, "");
		}
		finally {
			this.lock.unlock();
		}
	}

	// A move with an unknown policy must not stop the other moves, so it only gets a
	// warning.
	private static MovePolicy unknownPolicy(String name, Set<String> known) {
		String warning = "move policy '" + name + "' is not registered; known are " + known;
		return (situation) -> situation.move().warnings().contains(warning) ? new MoveDecision.Hold(warning)
				: new MoveDecision.Warn(warning);
	}

	private Evidence drainReceived() {
		this.lock.lock();
		try {
			Evidence increment = this.received;
			this.received = Evidence.NONE;
			return increment;
		}
		finally {
			this.lock.unlock();
		}
	}

	private void decideMove(MoveState move, Evidence increment, long nowMillis) {
		ServiceConfiguration service = this.store.service(move.service()).orElse(null);
		if (service == null) {
			return;
		}
		List<Endpoint> endpoints = this.store.endpoints(move.service());
		VersionServers oldServers = VersionServers.of(endpoints, move.parameters().from(), nowMillis);
		VersionServers newServers = VersionServers.of(endpoints, move.parameters().to(), nowMillis);
		MoveEvidence updatedEvidence = evidence(move, service, nowMillis).plus(increment, nowMillis, oldServers,
				newServers);
		MoveDecision decision = this.policies.apply(move.parameters().policy())
			.decide(new MoveSituation(nowMillis, move, updatedEvidence, oldServers, newServers));
		storeDecision(move, updatedEvidence, decision);
		if (!(decision instanceof MoveDecision.Hold)) {
			propose(move, next(move, decision, nowMillis));
		}
	}

	private MoveEvidence evidence(MoveState move, ServiceConfiguration service, long nowMillis) {
		this.lock.lock();
		try {
			MoveEvidence previous = this.evidence.get(move.id());
			List<String> routes = service.routes().stream().map(Route::name).distinct().toList();
			return (previous != null) ? previous.withState(move) : MoveEvidence.start(move, routes, nowMillis);
		}
		finally {
			this.lock.unlock();
		}
	}

	private void storeDecision(MoveState move, MoveEvidence updatedEvidence, MoveDecision decision) {
		this.lock.lock();
		try {
			this.evidence.put(move.id(), updatedEvidence);
			this.decisionReasons.put(move.id(), decision.reason());
		}
		finally {
			this.lock.unlock();
		}
	}

	private void discardInactive(List<String> active) {
		this.lock.lock();
		try {
			this.evidence.keySet().retainAll(active);
			this.decisionReasons.keySet().retainAll(active);
		}
		finally {
			this.lock.unlock();
		}
	}

	private void propose(MoveState move, MoveState next) {
		if (this.store.propose(move, next)) {
			Logger.info("move: {} of service {}: step {}, share {} basis points, status {}: {} {}", move.id(),
					move.service(), next.step(), next.shareBasisPoints(), next.status(), next.reason(),
					next.statistics());
		}
		else {
			Logger.warn(
					"move: {} of service {}: the proposal of step {} was not committed; the next tick decides again",
					move.id(), move.service(), next.step());
		}
	}

	private static MoveState next(MoveState move, MoveDecision decision, long nowMillis) {
		return switch (decision) {
			case MoveDecision.Hold _ -> move;
			case MoveDecision.NextShare(int share, String reason) ->
				step(move, MoveStatus.RAMPING, share, nowMillis, reason, "", "");
			case MoveDecision.Watch(int share, String reason) ->
				step(move, MoveStatus.WATCHING, share, nowMillis, reason, "", "");
			case MoveDecision.Done(String reason, String statistics) -> step(move, MoveStatus.DONE,
					ServiceConfiguration.FULL_SHARE_BASIS_POINTS, nowMillis, reason, "", statistics);
			case MoveDecision.Withdraw(String reason, String route, String statistics) ->
				step(move, MoveStatus.TAKEN_BACK, 0, nowMillis, reason, route, statistics);
			case MoveDecision.Warn(String reason) -> warned(move, reason);
		};
	}

	private static MoveState step(MoveState move, MoveStatus status, int share, long nowMillis, String reason,
			String route, String statistics) {
		return new MoveState(move.service(), move.parameters(), move.startedMillis(), status, move.step() + 1, share,
				nowMillis, reason, route, statistics, status.isFinal() ? nowMillis : 0, move.warnings());
	}

	private static MoveState warned(MoveState move, String warning) {
		List<String> warnings = new ArrayList<>(move.warnings());
		warnings.add(warning);
		return new MoveState(move.service(), move.parameters(), move.startedMillis(), move.status(), move.step(),
				move.shareBasisPoints(), move.stepMillis(), move.reason(), move.route(), move.statistics(),
				move.finishedMillis(), warnings);
	}

}
