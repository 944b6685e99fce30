package io.lavenderroad.control.state;

import java.util.List;
import java.util.SortedMap;

import io.lavenderroad.model.Change;
import io.lavenderroad.model.ConfigurationEdit;
import io.lavenderroad.model.departure.Departure;
import io.lavenderroad.model.rendering.RenderedService;

/**
 * Command of the replicated state machine. The state machine reads no clock:
 * {@link #atMillis()} is its only source of time.
 */
public sealed interface Command {

	/**
	 * Value of an expected step that matches every step of a move.
	 */
	int ANY_STEP = -1;

	/**
	 * Returns the time at the leader when it proposed the command.
	 * @return milliseconds since the epoch
	 */
	long atMillis();

	/**
	 * Applies a change of the documents together with the services rendered from them.
	 *
	 * @param atMillis time of the leader, milliseconds since the epoch
	 * @param change the change
	 * @param digest digest of the content of the change
	 * @param renderedLastChangeVersion version of the last accepted change that the
	 * leader had applied when it rendered
	 * @param services rendered services that differ from those of the last accepted
	 * change
	 * @param removedServices names of the services that the documents no longer define
	 */
	record ApplyChange(long atMillis, Change change, String digest, long renderedLastChangeVersion,
			SortedMap<String, RenderedService> services, List<String> removedServices) implements Command {

	}

	/**
	 * Sets the share of traffic for the new version of a move. The last share of the ramp
	 * puts the move in the status {@code WATCHING}.
	 *
	 * @param atMillis time of the leader, milliseconds since the epoch
	 * @param moveId id of the move
	 * @param expectedStep step of the move that the decision was made for
	 * @param shareBasisPoints share of the new version in 1/10,000
	 * @param rampComplete whether this is the last share of the ramp, after which the new
	 * version is only observed; the old version may keep a small share for comparison
	 * @param reason reason for the change of the share
	 */
	record StepMove(long atMillis, String moveId, int expectedStep, int shareBasisPoints, boolean rampComplete,
			String reason) implements Command {

	}

	/**
	 * Withdraws the new version of a move.
	 *
	 * @param atMillis time of the leader, milliseconds since the epoch
	 * @param moveId id of the move
	 * @param expectedStep step of the move that the decision was made for, or
	 * {@link #ANY_STEP}
	 * @param operator name of the operator, or empty if the system decided
	 * @param reason reason for the withdrawal
	 * @param route route whose evidence led to the decision, or empty
	 * @param statistics statistics behind the decision
	 */
	record WithdrawMove(long atMillis, String moveId, int expectedStep, String operator, String reason, String route,
			String statistics) implements Command {

	}

	/**
	 * Finishes a move whose ramp is complete; the new version gets all traffic.
	 *
	 * @param atMillis time of the leader, milliseconds since the epoch
	 * @param moveId id of the move
	 * @param expectedStep step of the move that the decision was made for
	 * @param reason reason for finishing the move
	 * @param statistics statistics behind the verdict
	 */
	record FinishMove(long atMillis, String moveId, int expectedStep, String reason,
			String statistics) implements Command {

	}

	/**
	 * Records an early warning about a move for the operator.
	 *
	 * @param atMillis time of the leader, milliseconds since the epoch
	 * @param moveId id of the move
	 * @param expectedStep step of the move that the warning was made for
	 * @param warning the warning
	 */
	record RecordMoveWarning(long atMillis, String moveId, int expectedStep, String warning) implements Command {

	}

	/**
	 * Replaces the declared configuration.
	 *
	 * @param atMillis time of the leader, milliseconds since the epoch
	 * @param declaredVersion version that the operator chose
	 * @param baseDeclaredVersion declared version that the edit was computed for
	 * @param digest digest of the declaration
	 * @param edit difference from the configuration of the base version
	 * @param changedParts texts of the parts that are new or changed
	 * @param removedParts names of the parts that were removed
	 */
	record ReplaceConfiguration(long atMillis, long declaredVersion, long baseDeclaredVersion, String digest,
			ConfigurationEdit edit, SortedMap<String, String> changedParts,
			List<String> removedParts) implements Command {

	}

	/**
	 * Begins a move whose deadline is relative to the time of the command.
	 *
	 * @param atMillis time of the leader, milliseconds since the epoch
	 * @param service name of the service
	 * @param target version that the traffic moves to
	 * @param durationMillis time within which the move must be finished, in milliseconds
	 */
	record BeginMove(long atMillis, String service, String target, long durationMillis) implements Command {

	}

	/**
	 * Records the initial version that serves a declared service if none is recorded yet.
	 *
	 * @param atMillis time of the leader, milliseconds since the epoch
	 * @param service name of the service
	 * @param version the version
	 */
	record RecordInitialVersion(long atMillis, String service, String version) implements Command {

	}

	/**
	 * Begins or finishes the evacuation of a failure domain.
	 *
	 * @param atMillis time of the leader, milliseconds since the epoch
	 * @param failureDomain name of the failure domain
	 * @param evacuated whether the backend servers in the domain get no requests from now
	 * on
	 */
	record SetEvacuation(long atMillis, String failureDomain, boolean evacuated) implements Command {

	}

	/**
	 * Keeps a departure of a backend server.
	 *
	 * @param atMillis time of the leader, milliseconds since the epoch
	 * @param nodeId id of the node on the VM
	 * @param departure the departure
	 */
	record KeepDeparture(long atMillis, String nodeId, Departure departure) implements Command {

	}

}
