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
 * Drives the moves on the leader. Each leader creates its own controller when it is
 * elected and drops it when it steps down.
 *
 * <p>
 * The durable {@link MoveState} holds the step, the share and the times, so a new leader
 * goes on from there: it repeats no step and goes back only by a withdrawal. It lacks the
 * evidence collected so far, including the recorded baseline of the old version, and
 * therefore stays at the present share until it has collected the evidence of the present
 * step itself. After the full shift it records the baseline anew from the small share
 * left on the old version. The false-alarm rate holds for each leader.
 *
 * <p>
 * Thread-safe. One lock guards the evidence; a proposal is made without the lock, so that
 * evidence is accepted meanwhile. {@link #tick(long)} itself is called by one task.
 */
public final class MoveController {

	private final MoveStore store;

	private final Function<String, MovePolicy> policies;

	private final ReentrantLock lock = new ReentrantLock();

	private final Map<String, MoveEvidence> evidence = new HashMap<>();

	private final Map<String, String> waiting = new HashMap<>();

	private Evidence received = Evidence.NONE;

	public MoveController(MoveStore store, Kernel kernel) {
		this.store = store;
		this.policies = (name) -> kernel.find(MovePolicy.EXTENSION_POINT, name)
			.orElseGet(() -> unknownPolicy(name, kernel.names(MovePolicy.EXTENSION_POINT)));
	}

	/**
	 * Adds observations of nodes. Each observation must be added once.
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
	 * Decides on every move once. It is called about once a second.
	 * @param nowMillis the time, milliseconds since the epoch
	 */
	public void tick(long nowMillis) {
		Evidence increment = takeReceived();
		List<String> active = new ArrayList<>();
		for (MoveState move : List.copyOf(this.store.moves())) {
			if (!move.status().isFinal()) {
				active.add(move.id());
				advance(move, increment, nowMillis);
			}
		}
		forgetOthers(active);
	}

	/**
	 * Returns what a move waits for.
	 * @param moveId id of the move
	 * @return a short sentence, empty if unknown
	 */
	public String waitingFor(String moveId) {
		this.lock.lock();
		try {
			return this.waiting.getOrDefault(moveId, "");
		}
		finally {
			this.lock.unlock();
		}
	}

	// A move that cannot be decided must not stop the other moves, so it is only warned
	// of.
	private static MovePolicy unknownPolicy(String name, Set<String> known) {
		String warning = "move policy '" + name + "' is not registered; known are " + known;
		return (situation) -> situation.move().warnings().contains(warning) ? new MoveDecision.Hold(warning)
				: new MoveDecision.Warn(warning);
	}

	private Evidence takeReceived() {
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

	private void advance(MoveState move, Evidence increment, long nowMillis) {
		ServiceConfiguration service = this.store.service(move.service()).orElse(null);
		if (service == null) {
			return;
		}
		List<Endpoint> endpoints = this.store.endpoints(move.service());
		VersionServers oldServers = VersionServers.of(endpoints, move.parameters().from(), nowMillis);
		VersionServers newServers = VersionServers.of(endpoints, move.parameters().to(), nowMillis);
		MoveEvidence seen = evidence(move, service, nowMillis).plus(increment, nowMillis, oldServers, newServers);
		MoveDecision decision = this.policies.apply(move.parameters().policy())
			.decide(new MoveSituation(nowMillis, move, seen, oldServers, newServers));
		remember(move, seen, decision);
		if (!(decision instanceof MoveDecision.Hold)) {
			propose(move, next(move, decision, nowMillis));
		}
	}

	private MoveEvidence evidence(MoveState move, ServiceConfiguration service, long nowMillis) {
		this.lock.lock();
		try {
			MoveEvidence known = this.evidence.get(move.id());
			List<String> routes = service.routes().stream().map(Route::name).distinct().toList();
			return (known != null) ? known.at(move) : MoveEvidence.start(move, routes, nowMillis);
		}
		finally {
			this.lock.unlock();
		}
	}

	private void remember(MoveState move, MoveEvidence seen, MoveDecision decision) {
		this.lock.lock();
		try {
			this.evidence.put(move.id(), seen);
			this.waiting.put(move.id(), decision.reason());
		}
		finally {
			this.lock.unlock();
		}
	}

	private void forgetOthers(List<String> active) {
		this.lock.lock();
		try {
			this.evidence.keySet().retainAll(active);
			this.waiting.keySet().retainAll(active);
		}
		finally {
			this.lock.unlock();
		}
	}

	private void propose(MoveState move, MoveState next) {
		if (this.store.propose(move, next)) {
			Logger.info("move: {} of {} step {} share {} {}: {} {}", move.id(), move.service(), next.step(),
					next.shareBasisPoints(), next.status(), next.reason(), next.figures());
		}
		else {
			Logger.warn("move: {} of {}: the proposal of step {} was not committed and is decided again", move.id(),
					move.service(), next.step());
		}
	}

	private static MoveState next(MoveState move, MoveDecision decision, long nowMillis) {
		return switch (decision) {
			case MoveDecision.Hold _ -> move;
			case MoveDecision.NextShare(int share, String reason) ->
				step(move, MoveStatus.RAMPING, share, nowMillis, reason, "", "");
			case MoveDecision.Watch(int share, String reason) ->
				step(move, MoveStatus.WATCHING, share, nowMillis, reason, "", "");
			case MoveDecision.Done(String reason, String figures) ->
				step(move, MoveStatus.DONE, ServiceConfiguration.WHOLE_SHARE, nowMillis, reason, "", figures);
			case MoveDecision.Withdraw(String reason, String route, String figures) ->
				step(move, MoveStatus.TAKEN_BACK, 0, nowMillis, reason, route, figures);
			case MoveDecision.Warn(String reason) -> warned(move, reason);
		};
	}

	private static MoveState step(MoveState move, MoveStatus status, int share, long nowMillis, String reason,
			String route, String figures) {
		return new MoveState(move.service(), move.parameters(), move.startedMillis(), status, move.step() + 1, share,
				nowMillis, reason, route, figures, status.isFinal() ? nowMillis : 0, move.warnings());
	}

	private static MoveState warned(MoveState move, String warning) {
		List<String> warnings = new ArrayList<>(move.warnings());
		warnings.add(warning);
		return new MoveState(move.service(), move.parameters(), move.startedMillis(), move.status(), move.step(),
				move.shareBasisPoints(), move.stepMillis(), move.reason(), move.route(), move.figures(),
				move.finishedMillis(), warnings);
	}

}
