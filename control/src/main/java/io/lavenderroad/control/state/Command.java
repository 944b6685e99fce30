package io.lavenderroad.control.state;

import java.util.List;
import java.util.SortedMap;

import io.lavenderroad.model.Change;
import io.lavenderroad.model.rendering.RenderedService;

/**
 * Entry of the replicated log. Time enters the state machine only as {@link #atMillis()}.
 */
public sealed interface Command {

	/**
	 * Expected step of a move that matches any step.
	 */
	int ANY_STEP = -1;

	/**
	 * Returns the time of the leader when it proposed the command.
	 * @return milliseconds since the epoch
	 */
	long atMillis();

	/**
	 * Applies a change of the documents together with the services rendered from them.
	 *
	 * @param atMillis time of the leader, milliseconds since the epoch
	 * @param change the change
	 * @param digest digest of the content of the change
	 * @param renderedAfter version of the last accepted change that the leader had
	 * applied when it rendered
	 * @param services rendered services that differ from those of the last accepted
	 * change
	 * @param removedServices names of the services that the documents no longer set
	 */
	record ApplyChange(long atMillis, Change change, String digest, long renderedAfter,
			SortedMap<String, RenderedService> services, List<String> removedServices) implements Command {

	}

	/**
	 * Sets the share of the new version of a move. A share of the whole traffic puts the
	 * move under watch.
	 *
	 * @param atMillis time of the leader, milliseconds since the epoch
	 * @param moveId id of the move
	 * @param expectedStep step of the move that the decision was made for
	 * @param shareBasisPoints share of the new version in 1/10,000
	 * @param reason why the share changes
	 */
	record StepMove(long atMillis, String moveId, int expectedStep, int shareBasisPoints,
			String reason) implements Command {

	}

	/**
	 * Takes the new version of a move back.
	 *
	 * @param atMillis time of the leader, milliseconds since the epoch
	 * @param moveId id of the move
	 * @param expectedStep step of the move that the decision was made for, or
	 * {@link #ANY_STEP}
	 * @param operator name of the operator, or empty if the system decided
	 * @param reason why it is taken back
	 * @param route route that decided, or empty
	 * @param figures figures behind the decision
	 */
	record WithdrawMove(long atMillis, String moveId, int expectedStep, String operator, String reason, String route,
			String figures) implements Command {

	}

	/**
	 * Finishes a move whose new version has the whole traffic.
	 *
	 * @param atMillis time of the leader, milliseconds since the epoch
	 * @param moveId id of the move
	 * @param expectedStep step of the move that the decision was made for
	 * @param reason why it is done
	 * @param figures figures behind the verdict
	 */
	record FinishMove(long atMillis, String moveId, int expectedStep, String reason,
			String figures) implements Command {

	}

	/**
	 * Records an early warning for the operator.
	 *
	 * @param atMillis time of the leader, milliseconds since the epoch
	 * @param moveId id of the move
	 * @param expectedStep step of the move that the warning was made for
	 * @param warning the warning
	 */
	record WarnOfMove(long atMillis, String moveId, int expectedStep, String warning) implements Command {

	}

}
