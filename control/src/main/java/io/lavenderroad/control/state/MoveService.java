package io.lavenderroad.control.state;

import io.lavenderroad.control.state.Command.FinishMove;
import io.lavenderroad.control.state.Command.RecordMoveWarning;
import io.lavenderroad.control.state.Command.StepMove;
import io.lavenderroad.control.state.Command.WithdrawMove;
import io.lavenderroad.core.Clock;
import io.lavenderroad.model.MoveState;
import io.lavenderroad.model.rendering.ParameterType;
import io.vavr.control.Either;
import org.tinylog.Logger;

/**
 * Proposes decisions about moves to the replicated log. Each decision of the system
 * carries the step of the move that it was made for, so that a repeated or late one has
 * no effect.
 */
public final class MoveService {

	private final CommandLog log;

	private final Clock clock;

	/**
	 * Creates the service.
	 * @param log proposes commands to the replicated log
	 * @param clock source of time
	 */
	public MoveService(CommandLog log, Clock clock) {
		this.log = log;
		this.clock = clock;
	}

	/**
	 * Sets the share of the new version.
	 * @param move state of the move that the decision was made for
	 * @param shareBasisPoints share in 1/10,000
	 * @param rampComplete whether this is the last share of the ramp
	 * @param reason reason for the change of the share
	 * @return the outcome, or the reason why the command is not known to be committed
	 */
	public Either<CommandFailure, CommandOutcome> step(MoveState move, int shareBasisPoints, boolean rampComplete,
			String reason) {
		return propose(
				new StepMove(this.clock.millis(), move.id(), move.step(), shareBasisPoints, rampComplete, reason),
				move.id(), move.parameters().to() + " gets " + ParameterType.percent(shareBasisPoints) + ": " + reason);
	}

	/**
	 * Withdraws the new version because of collected evidence.
	 * @param move state of the move that the decision was made for
	 * @param reason reason for the withdrawal
	 * @param route route whose evidence led to the decision, or empty
	 * @param statistics statistics behind the decision
	 * @return the outcome, or the reason why the command is not known to be committed
	 */
	public Either<CommandFailure, CommandOutcome> withdraw(MoveState move, String reason, String route,
			String statistics) {
		return propose(new WithdrawMove(this.clock.millis(), move.id(), move.step(), "", reason, route, statistics),
				move.id(), "taken back: " + reason);
	}

	/**
	 * Withdraws the new version on request of an operator, at any step of the move.
	 * @param moveId id of the move
	 * @param operator name of the operator
	 * @param reason reason given by the operator
	 * @return the outcome, or the reason why the command is not known to be committed
	 */
	public Either<CommandFailure, CommandOutcome> withdrawByOperator(String moveId, String operator, String reason) {
		String text = "withdrawn by " + operator + (reason.isEmpty() ? "" : ": " + reason);
		return propose(new WithdrawMove(this.clock.millis(), moveId, Command.ANY_STEP, operator, text, "", ""), moveId,
				text);
	}

	/**
	 * Finishes a move whose ramp is complete; the new version gets all traffic.
	 * @param move state of the move that the decision was made for
	 * @param reason reason for finishing the move
	 * @param statistics statistics behind the verdict
	 * @return the outcome, or the reason why the command is not known to be committed
	 */
	public Either<CommandFailure, CommandOutcome> finish(MoveState move, String reason, String statistics) {
		return propose(new FinishMove(this.clock.millis(), move.id(), move.step(), reason, statistics), move.id(),
				"done: " + reason);
	}

	/**
	 * Records an early warning about a move.
	 * @param move state of the move that the warning was made for
	 * @param warning the warning
	 * @return the outcome, or the reason why the command is not known to be committed
	 */
	public Either<CommandFailure, CommandOutcome> warn(MoveState move, String warning) {
		return propose(new RecordMoveWarning(this.clock.millis(), move.id(), move.step(), warning), move.id(),
				"warning: " + warning);
	}

	private Either<CommandFailure, CommandOutcome> propose(Command command, String moveId, String event) {
		return this.log.propose(CommandBinding.toBytes(command))
			.map(CommandBinding::outcomeFromBytes)
			.peek((outcome) -> {
				if (outcome.applied()) {
					Logger.info("move: {}: {}", moveId, event);
				}
			});
	}

}
