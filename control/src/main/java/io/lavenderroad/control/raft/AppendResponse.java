package io.lavenderroad.control.raft;

/**
 * Answer to an {@link AppendRequest}.
 *
 * @param term term of the follower
 * @param result what the follower did
 * @param index after success the last entry that is durable and equal to that of the
 * leader; after a mismatch the last entry that may be equal
 */
public record AppendResponse(long term, Result result, long index) {

	/**
	 * What a follower did with entries. The ordinal is the code on the wire, so constants
	 * keep their order.
	 */
	public enum Result {

		/**
		 * The entries are durable.
		 */
		SUCCESS,

		/**
		 * The entry before the first one is missing or differs.
		 */
		MISMATCH,

		/**
		 * The term of the leader is old.
		 */
		OLD_TERM,

		/**
		 * The disk of the follower is full or failed.
		 */
		UNAVAILABLE

	}

}
