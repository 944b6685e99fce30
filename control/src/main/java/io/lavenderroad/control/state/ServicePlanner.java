package io.lavenderroad.control.state;

import java.util.Map;
import java.util.Optional;

import io.lavenderroad.model.MoveParameters;
import io.lavenderroad.model.MoveState;
import io.lavenderroad.model.MoveStatus;
import io.lavenderroad.model.ServiceConfiguration;
import io.lavenderroad.model.rendering.MoveRequest;
import io.lavenderroad.model.rendering.RenderedService;
import io.vavr.control.Either;

/**
 * Decides what a change does to the traffic and the move of one service.
 * <ul>
 * <li>The same versions and attempt as before continue the move, whatever its status: a
 * withdrawn version is not tried again, a finished move stays finished. A new deadline or
 * policy applies to the active move.</li>
 * <li>Any other request ends an active move. The traffic returns to the old version, or
 * stays on the new one if it already has all of it and is the current version now.</li>
 * <li>Traffic never goes to another version at once unless the document names that
 * version under {@code at-once}.</li>
 * </ul>
 */
final class ServicePlanner {

	private final String changeId;

	private final long version;

	private final long atMillis;

	/**
	 * Creates a planner for one change.
	 * @param changeId id of the change
	 * @param version mesh version that the change makes
	 * @param atMillis command time of the change, milliseconds since the epoch
	 */
	ServicePlanner(String changeId, long version, long atMillis) {
		this.changeId = changeId;
		this.version = version;
		this.atMillis = atMillis;
	}

	/**
	 * Plans a service that exists after the change.
	 * @param before the service before the change
	 * @param wanted what the documents ask for
	 * @return the service after the change, or why it is not allowed
	 */
	Either<PlanProblem, PlannedService> plan(Optional<ServiceBefore> before, RenderedService wanted) {
		if (before.isEmpty()) {
			return start(wanted, Optional.empty());
		}
		Optional<MoveRequest> request = before.get().requested().move();
		boolean continues = request.isPresent() && wanted.move().isPresent()
				&& request.get().sameMove(wanted.move().get());
		return continues ? proceed(before.get(), wanted) : replace(before.get(), wanted);
	}

	/**
	 * Plans a service that the change removes.
	 * @param before the service before the change
	 * @return the move that ends, if one is active
	 */
	Optional<MoveState> remove(ServiceBefore before) {
		return before.activeMove()
			.map((move) -> end(move, MoveStatus.TAKEN_BACK, "the service was removed by change " + this.changeId));
	}

	private Either<PlanProblem, PlannedService> proceed(ServiceBefore before, RenderedService wanted) {
		ServiceConfiguration.Builder service = wanted.configuration().toBuilder().split(before.live().split());
		Optional<MoveState> active = before.activeMove();
		if (active.isEmpty()) {
			return Either.right(new PlannedService(service.build(), Optional.empty(), Optional.empty()));
		}
		MoveRequest request = wanted.move().get();
		MoveParameters present = active.get().parameters();
		boolean sameDeadline = request.deadline().equals(before.requested().move().get().deadline());
		long deadline = sameDeadline ? present.deadlineMillis() : request.deadline().resolve(this.atMillis);
		if (!sameDeadline && deadline <= this.atMillis) {
			return Either.left(pastDeadline(wanted));
		}
		MoveParameters next = new MoveParameters(present.id(), present.from(), present.to(), deadline,
				request.thinEvidence(), request.policy());
		MoveState move = MoveChanges.withParameters(active.get(), next);
		return Either.right(new PlannedService(service.move(next).build(), Optional.empty(),
				Optional.of(move).filter((state) -> !state.equals(active.get()))));
	}

	private Either<PlanProblem, PlannedService> replace(ServiceBefore before, RenderedService wanted) {
		String current = wanted.current();
		boolean atOnce = wanted.atOnce().filter(current::equals).isPresent();
		Optional<MoveState> active = before.activeMove();
		if (active.isEmpty()) {
			boolean serves = before.live().split().getOrDefault(current, 0) == ServiceConfiguration.WHOLE_SHARE;
			return (serves || atOnce) ? start(wanted, Optional.empty()) : Either.left(jump(before, wanted));
		}
		MoveState move = active.get();
		boolean completes = current.equals(move.parameters().to());
		boolean aborts = current.equals(move.parameters().from());
		if (!aborts && !atOnce && !(completes && move.status() == MoveStatus.WATCHING)) {
			return Either.left(jump(before, wanted));
		}
		String reason = (completes ? "completed by change " : "aborted by change ") + this.changeId;
		return start(wanted, Optional.of(end(move, completes ? MoveStatus.DONE : MoveStatus.TAKEN_BACK, reason)));
	}

	private Either<PlanProblem, PlannedService> start(RenderedService wanted, Optional<MoveState> ended) {
		ServiceConfiguration.Builder service = wanted.configuration()
			.toBuilder()
			.split(Map.of(wanted.current(), ServiceConfiguration.WHOLE_SHARE));
		if (wanted.move().isEmpty()) {
			return Either.right(new PlannedService(service.build(), ended, Optional.empty()));
		}
		MoveRequest request = wanted.move().get();
		long deadline = request.deadline().resolve(this.atMillis);
		if (deadline <= this.atMillis) {
			return Either.left(pastDeadline(wanted));
		}
		String id = wanted.name() + "-" + request.to() + "-" + this.version;
		MoveParameters parameters = new MoveParameters(id, request.from(), request.to(), deadline,
				request.thinEvidence(), request.policy());
		return Either.right(new PlannedService(service.move(parameters).build(), ended,
				Optional.of(MoveState.started(wanted.name(), parameters, this.atMillis))));
	}

	private MoveState end(MoveState move, MoveStatus status, String reason) {
		return MoveChanges.finished(move, status, this.atMillis, reason, "", "");
	}

	private static PlanProblem jump(ServiceBefore before, RenderedService wanted) {
		String serving = before.activeMove()
			.map((move) -> "move " + move.id() + " from " + move.parameters().from() + " to " + move.parameters().to()
					+ " is active")
			.orElse("the traffic is on " + String.join(", ", before.live().split().keySet()));
		return new PlanProblem(wanted.name(), "current", "'" + wanted.current() + "' while " + serving,
				"the version that has the traffic, with a move to another one; or at-once: " + wanted.current()
						+ " to send it all traffic without a move");
	}

	private static PlanProblem pastDeadline(RenderedService wanted) {
		return new PlanProblem(wanted.name(), "move.deadline", "a deadline that has passed", "a time in the future");
	}

	/**
	 * Service before a change.
	 *
	 * @param requested what the documents asked for
	 * @param live the service that nodes have
	 * @param move the move of the request, active or final
	 */
	record ServiceBefore(RenderedService requested, ServiceConfiguration live, Optional<MoveState> move) {

		Optional<MoveState> activeMove() {
			return this.move.filter((state) -> !state.status().isFinal());
		}

	}

	/**
	 * Service after a change.
	 *
	 * @param live the service that nodes get
	 * @param ended move that the change ends
	 * @param move move that the change starts or gives other parameters
	 */
	record PlannedService(ServiceConfiguration live, Optional<MoveState> ended, Optional<MoveState> move) {

	}

}
