package io.lavenderroad.bench.history;

import io.lavenderroad.core.ExecutionVerdict;

/**
 * One event of a concurrent run. All processes of a run share the clock of one machine.
 * Violations are printed with the names of the records and their components.
 */
public sealed interface HistoryEvent {

	/**
	 * Returns the time of the event.
	 * @return milliseconds on the clock of the run
	 */
	long millis();

	/**
	 * An operator sent a change, for the first time or again.
	 *
	 * @param millis time of the event
	 * @param changeId id of the change
	 * @param baseVersion version that the change was made against
	 */
	record ChangeSent(long millis, String changeId, long baseVersion) implements HistoryEvent {

	}

	/**
	 * An operator got an answer to a change.
	 *
	 * @param millis time of the event
	 * @param changeId id of the change
	 * @param verdict {@code RAN} if accepted, {@code NOT_RUN} if refused,
	 * {@code MAY_HAVE_RUN} if unknown
	 * @param version version made by the change if accepted, else 0
	 */
	record ChangeAnswered(long millis, String changeId, ExecutionVerdict verdict,
			long version) implements HistoryEvent {

	}

	/**
	 * The history of the control group, read at the end of the run, holds a version.
	 *
	 * @param millis time of the event
	 * @param version the version
	 * @param changeId id of the change that made it, or empty if a move made it
	 */
	record VersionRecorded(long millis, long version, String changeId) implements HistoryEvent {

	}

	/**
	 * A node reported its active version.
	 *
	 * @param millis time of the event
	 * @param nodeId id of the node; a restarted node keeps its id
	 * @param version active version
	 * @param missingResources number of references in its slice to resources that the
	 * slice lacks
	 * @param digest digest of its slice
	 * @param expectedDigest digest of the same slice derived from the version that the
	 * control group recorded, or empty if it was not compared
	 */
	record VersionInForce(long millis, String nodeId, long version, int missingResources, String digest,
			String expectedDigest) implements HistoryEvent {

	}

	/**
	 * A caller sent a request.
	 *
	 * @param millis time of the event
	 * @param callId id of the request, carried in its body
	 * @param key idempotency key, or empty
	 * @param idempotent whether the route is idempotent
	 */
	record CallSent(long millis, String callId, String key, boolean idempotent) implements HistoryEvent {

	}

	/**
	 * A caller got an answer.
	 *
	 * @param millis time of the event
	 * @param callId id of the request
	 * @param verdict execution verdict reported to the caller
	 * @param answeredCallId id in the body of the answer, or empty if the mesh itself
	 * answered
	 * @param whole whether the body of the answer was complete
	 */
	record CallAnswered(long millis, String callId, ExecutionVerdict verdict, String answeredCallId,
			boolean whole) implements HistoryEvent {

	}

	/**
	 * A backend server ran a request, according to its own record.
	 *
	 * @param millis time of the event
	 * @param callId id of the request
	 * @param key idempotency key, or empty
	 * @param backendId id of the backend server
	 */
	record CallRan(long millis, String callId, String key, String backendId) implements HistoryEvent {

	}

}
