package io.lavenderroad.control.state;

import java.util.Optional;

import io.lavenderroad.control.state.Command.BeginMove;
import io.lavenderroad.core.Clock;
import io.lavenderroad.model.MoveState;
import io.vavr.control.Either;
import org.tinylog.Logger;

/**
 * Accepts orders for single moves, whose deadlines are relative to the time of the order.
 * Moves can also be requested by parameters documents.
 */
public final class MoveOrders {

	private final MeshStateMachine stateMachine;

	private final CommandLog log;

	private final ReadConfirmation confirmation;

	private final Clock clock;

	/**
	 * Creates the service.
	 * @param stateMachine state machine of this member
	 * @param log proposes commands to the replicated log
	 * @param confirmation confirms that this member is the leader
	 * @param clock source of time
	 */
	public MoveOrders(MeshStateMachine stateMachine, CommandLog log, ReadConfirmation confirmation, Clock clock) {
		this.stateMachine = stateMachine;
		this.log = log;
		this.confirmation = confirmation;
		this.clock = clock;
	}

	/**
	 * Begins a move. A resend of the same order, while the move is active or shortly
	 * after it began, is acknowledged again and begins no second move.
	 * @param service name of the service
	 * @param target backend server version that the traffic moves to
	 * @param durationMillis time within which the move must be finished, in milliseconds
	 * @return the outcome of the state machine, or the reason why there is none
	 */
	public Either<ChangeRefusal, CommandOutcome> begin(String service, String target, long durationMillis) {
		BeginMove command = new BeginMove(this.clock.millis(), service, target, durationMillis);
		return this.log.propose(CommandBinding.toBytes(command))
			.mapLeft(ChangeRefusal::of)
			.map(CommandBinding::outcomeFromBytes)
			.peek((outcome) -> Logger.info("move: Order to move service {} to version {} within {} ms: {}.", service,
					target, durationMillis, outcome.applied() ? "accepted" : outcome.reason()));
	}

	/**
	 * Records the initial version that serves a service, if none is recorded yet.
	 * @param service name of the service
	 * @param version the chosen version
	 * @return the outcome of the state machine, or the reason why there is none
	 */
	public Either<CommandFailure, CommandOutcome> recordInitialVersion(String service, String version) {
		return this.log
			.propose(CommandBinding.toBytes(new Command.RecordInitialVersion(this.clock.millis(), service, version)))
			.map(CommandBinding::outcomeFromBytes)
			.peek((outcome) -> Logger.info("move: First version of service {} is {}: {}.", service, version,
					outcome.applied() ? "recorded" : outcome.reason()));
	}

	/**
	 * Returns the move of a service that was started last.
	 * @param service name of the service
	 * @return the move, empty if there was none, or the reason why the result might be
	 * stale
	 */
	public Either<ChangeRefusal, Optional<MoveState>> newest(String service) {
		return this.confirmation.confirm()
			.mapLeft(ChangeRefusal::of)
			.map((index) -> this.stateMachine.newestMove(service));
	}

}
