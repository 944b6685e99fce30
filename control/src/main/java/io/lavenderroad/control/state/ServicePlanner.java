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
 * Plans the effect of a change on the traffic and the move of one service.
 * <ul>
 * <li>A request with the same versions and attempt as before continues the move, whatever
 * its status: a withdrawn version is not tried again, a finished move stays finished. A
 * new deadline or policy applies to the active move.</li>
 * <li>Any other request ends an active move. The traffic returns to the old version, or
 * goes to the new one if the ramp is complete and the request names it as the current
 * version.</li>
 * <li>All traffic is switched to another version without a move only if the document
 * names that version under {@code at-once}.</li>
 * </ul>
 */
final class ServicePlanner {

	private final String changeId;

	private final long version;

	private final long atMillis;

	/**
	 * Creates a planner for one change.
	 * @param changeId id of the change
	 * @param version mesh version that the change creates
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
	 * @param requestedService the service as the documents request it
	 * @return the service after the change, or the reason why the change is not allowed
	 */
	Either<PlanProblem, PlannedService> plan(Optional<ServiceBefore> before, RenderedService requestedService) {
		if (before.isEmpty()) {
			return startService(requestedService, Optional.empty());
		}
		Optional<MoveRequest> request = before.get().requested().move();
		boolean continues = request.isPresent() && requestedService.move().isPresent()
				&& request.get().sameMove(requestedService.move().get());
		return continues ? continueMove(before.get(), requestedService) : replaceMove(before.get(), requestedService);
	}

	/**
	 * Plans a service that the change removes.
	 * @param before the service before the change
	 * @return the ended move, if one was active
	 */
	Optional<MoveState> remove(ServiceBefore before) {
		return before.activeMove()
			.map((move) -> end(move, MoveStatus.TAKEN_BACK, "the service was removed by change " + this.changeId));
	}

	private Either<PlanProblem, PlannedService> continueMove(ServiceBefore before, RenderedService requestedService) {
		ServiceConfiguration.Builder service = requestedService.configuration()
			.toBuilder()
			.split(before.configuration().split());
		Optional<MoveState> active = before.activeMove();
		if (active.isEmpty()) {
			return Either.right(new PlannedService(service.build(), Optional.empty(), Optional.empty()));
		}
		MoveRequest request = requestedService.move().get();
		MoveParameters currentParameters = active.get().parameters();
		boolean sameDeadline = request.deadline().equals(before.requested().move().get().deadline());
		long deadline = sameDeadline ? currentParameters.deadlineMillis() : request.deadline().resolve(this.atMillis);
		if (!sameDeadline && deadline <= this.atMillis) {
			return Either.left(pastDeadline(requestedService));
		}
		MoveParameters next = new MoveParameters(currentParameters.id(), currentParameters.from(),
				currentParameters.to(), deadline, request.thinEvidence(), request.policy());
		MoveState move = MoveTransitions.withParameters(active.get(), next);
		return Either.right(new PlannedService(service.move(next).build(), Optional.empty(),
				Optional.of(move).filter((state) -> !state.equals(active.get()))));
	}

	private Either<PlanProblem, PlannedService> replaceMove(ServiceBefore before, RenderedService requestedService) {
		String current = requestedService.current();
		boolean immediate = requestedService.immediateVersion().filter(current::equals).isPresent();
		Optional<MoveState> active = before.activeMove();
		if (active.isEmpty()) {
			boolean hasAllTraffic = before.configuration()
				.split()
				.getOrDefault(current, 0) == ServiceConfiguration.FULL_SHARE_BASIS_POINTS;
			return (hasAllTraffic || immediate) ? startService(requestedService, Optional.empty())
					: Either.left(switchWithoutMove(before, requestedService));
		}
		MoveState move = active.get();
		boolean completes = current.equals(move.parameters().to());
		boolean aborts = current.equals(move.parameters().from());
		if (!aborts && !immediate && !(completes && move.status() == MoveStatus.WATCHING)) {
			return Either.left(switchWithoutMove(before, requestedService));
		}
		String reason = (completes ? "completed by change " : "aborted by change ") + this.changeId;
		return startService(requestedService,
				Optional.of(end(move, completes ? MoveStatus.DONE : MoveStatus.TAKEN_BACK, reason)));
	}

	private Either<PlanProblem, PlannedService> startService(RenderedService requestedService,
			Optional<MoveState> ended) {
		ServiceConfiguration.Builder service = requestedService.configuration()
			.toBuilder()
			.split(Map.of(requestedService.current(), ServiceConfiguration.FULL_SHARE_BASIS_POINTS));
		if (requestedService.move().isEmpty()) {
			return Either.right(new PlannedService(service.build(), ended, Optional.empty()));
		}
		MoveRequest request = requestedService.move().get();
		long deadline = request.deadline().resolve(this.atMillis);
		if (deadline <= this.atMillis) {
			return Either.left(pastDeadline(requestedService));
		}
		String id = requestedService.name() + "-" + request.to() + "-" + this.version;
		MoveParameters parameters = new MoveParameters(id, request.from(), request.to(), deadline,
				request.thinEvidence(), request.policy());
		return Either.right(new PlannedService(service.move(parameters).build(), ended,
				Optional.of(MoveState.started(requestedService.name(), parameters, this.atMillis))));
	}

	private MoveState end(MoveState move, MoveStatus status, String reason) {
		return MoveTransitions.finished(move, status, this.atMillis, reason, "", "");
	}

	private static PlanProblem switchWithoutMove(ServiceBefore before, RenderedService requestedService) {
		String serving = before.activeMove()
			.map((move) -> "move " + move.id() + " from " + move.parameters().from() + " to " + move.parameters().to()
					+ " is active")
			.orElse("the traffic is on " + String.join(", ", before.configuration().split().keySet()));
		return new PlanProblem(requestedService.name(), "current",
				"'" + requestedService.current() + "' while " + serving,
				"the version that has the traffic, with a move to another one; or at-once: "
						+ requestedService.current() + " to send it all traffic without a move");
	}

	private static PlanProblem pastDeadline(RenderedService requestedService) {
		return new PlanProblem(requestedService.name(), "move.deadline", "a deadline that has passed",
				"a time in the future");
	}

	/**
	 * Service before a change.
	 *
	 * @param requested the service as the documents requested it
	 * @param configuration the active configuration of the service
	 * @param move the requested move, active or final
	 */
	record ServiceBefore(RenderedService requested, ServiceConfiguration configuration, Optional<MoveState> move) {

		Optional<MoveState> activeMove() {
			return this.move.filter((state) -> !state.status().isFinal());
		}

	}

	/**
	 * Service after a change.
	 *
	 * @param configuration the configuration of the service after the change
	 * @param ended move that the change ends
	 * @param move move that the change starts or whose parameters it replaces
	 */
	record PlannedService(ServiceConfiguration configuration, Optional<MoveState> ended, Optional<MoveState> move) {

	}

}
