package io.lavenderroad.control.state;

import java.util.Optional;

import io.lavenderroad.control.state.Command.BeginMove;
import io.lavenderroad.core.Clock;
import io.lavenderroad.model.MoveState;
import io.vavr.control.Either;
import org.tinylog.Logger;

/**
 * Moves that are ordered one by one, with a deadline that counts from the order, beside
 * those that parameters documents ask for.
 */
public final class MoveOrders {

	private final MeshStateMachine stateMachine;

	private final CommandLog log;

	private final ReadConfirmation confirmation;

	private final Clock clock;

	/**
	 * Creates the service.
	 * @param stateMachine state machine of this member
	 * @param log way into the replicated log
	 * @param confirmation proves that this member leads
	 * @param clock source of time
	 */
	public MoveOrders(MeshStateMachine stateMachine, CommandLog log, ReadConfirmation confirmation, Clock clock) {
		this.stateMachine = stateMachine;
		this.log = log;
		this.confirmation = confirmation;
		this.clock = clock;
	}

	/**
	 * Begins a move. The same order sent again while the move is young has the same
	 * outcome and begins nothing.
	 * @param service name of the service
	 * @param target backend server version that takes over
	 * @param durationMillis time until the move must be finished
	 * @return the outcome of the state machine, or why there is none
	 */
	public Either<ChangeRefusal, CommandOutcome> begin(String service, String target, long durationMillis) {
		BeginMove command = new BeginMove(this.clock.millis(), service, target, durationMillis);
		return this.log.propose(CommandBinding.toBytes(command))
			.mapLeft(ChangeRefusal::of)
			.map(CommandBinding::outcomeFromBytes)
			.peek((outcome) -> Logger.info("move: Order of {} to {} within {} ms: {}.", service, target, durationMillis,
					outcome.applied() ? "accepted" : outcome.reason()));
	}

	/**
	 * Records the version that serves a service, once.
	 * @param service name of the service
	 * @param version the only announced version
	 * @return the outcome of the state machine, or why there is none
	 */
	public Either<CommandFailure, CommandOutcome> recordFirstVersion(String service, String version) {
		return this.log
			.propose(CommandBinding.toBytes(new Command.RecordFirstVersion(this.clock.millis(), service, version)))
			.map(CommandBinding::outcomeFromBytes)
			.peek((outcome) -> Logger.info("move: Service {} starts with version {}: {}.", service, version,
					outcome.applied() ? "recorded" : outcome.reason()));
	}

	/**
	 * Reads the newest move of a service.
	 * @param service name of the service
	 * @return the move, empty if there was none, or why the answer might be old
	 */
	public Either<ChangeRefusal, Optional<MoveState>> newest(String service) {
		return this.confirmation.confirm()
			.mapLeft(ChangeRefusal::of)
			.map((index) -> this.stateMachine.newestMove(service));
	}

}
