package io.lavenderroad.control.state;

import java.util.List;
import java.util.SortedMap;

import io.lavenderroad.model.Change;
import io.lavenderroad.model.ConfigurationEdit;
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
	 * @param rampComplete whether this is the last share of the ramp, after which the new
	 * version is only watched; the old one may keep a small share for the comparison
	 * @param reason why the share changes
	 */
	record StepMove(long atMillis, String moveId, int expectedStep, int shareBasisPoints, boolean rampComplete,
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

	/**
	 * Replaces the declared configuration.
	 *
	 * @param atMillis time of the leader, milliseconds since the epoch
	 * @param declaredVersion version that the operator chose
	 * @param baseDeclaredVersion declared version that the edit was computed for
	 * @param digest digest of the declaration
	 * @param edit difference to the configuration of the base version
	 * @param changedParts texts of the parts that are new or changed
	 * @param removedParts names of the parts that are gone
	 */
	record ReplaceConfiguration(long atMillis, long declaredVersion, long baseDeclaredVersion, String digest,
			ConfigurationEdit edit, SortedMap<String, String> changedParts,
			List<String> removedParts) implements Command {

	}

	/**
	 * Begins a move with a deadline that counts from the order.
	 *
	 * @param atMillis time of the leader, milliseconds since the epoch
	 * @param service name of the service
	 * @param target version that takes over
	 * @param durationMillis time until the move must be finished
	 */
	record BeginMove(long atMillis, String service, String target, long durationMillis) implements Command {

	}

	/**
	 * Records which version serves a declared service, unless one is recorded.
	 *
	 * @param atMillis time of the leader, milliseconds since the epoch
	 * @param service name of the service
	 * @param version the version
	 */
	record RecordFirstVersion(long atMillis, String service, String version) implements Command {

	}

}
