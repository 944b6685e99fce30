package io.lavenderroad.control.raft;

/**
 * Response to an {@link AppendRequest}.
 *
 * @param term term of the follower
 * @param result result of the append
 * @param index after success the index of the last entry that is durable and matches the
 * log of the leader; after a mismatch the index of the last entry that may match
 */
public record AppendResponse(long term, Result result, long index) {

	/**
	 * Result of an append on a follower. The ordinal is the code on the wire, so the
	 * order of the constants must not change.
	 */
	public enum Result {

		/**
		 * The entries are durable.
		 */
		SUCCESS,

		/**
		 * The entry before the first sent entry is missing or has another term.
		 */
		MISMATCH,

		/**
		 * The term of the sender is older than that of the receiver.
		 */
		OLD_TERM,

		/**
		 * The follower cannot write to its disk or has stopped after a failure.
		 */
		UNAVAILABLE

	}

}
