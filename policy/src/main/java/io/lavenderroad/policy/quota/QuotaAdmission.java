package io.lavenderroad.policy.quota;

/**
 * Decision on a request of a team.
 *
 * @param kind the decision
 * @param retryAfterMillis milliseconds until the team has quota again, 0 if unknown
 */
public record QuotaAdmission(Kind kind, long retryAfterMillis) {

	static final QuotaAdmission ADMITTED = new QuotaAdmission(Kind.ADMITTED, 0);

	static final QuotaAdmission WAIT = new QuotaAdmission(Kind.WAIT, 0);

	static final QuotaAdmission NO_LEADER = new QuotaAdmission(Kind.NO_LEADER, 1_000);

	/**
	 * Possible decisions.
	 */
	public enum Kind {

		/**
		 * The request has a token.
		 */
		ADMITTED,

		/**
		 * The request waits for the next grant.
		 */
		WAIT,

		/**
		 * The team is beyond its quota.
		 */
		BEYOND_QUOTA,

		/**
		 * No leader can be reached, and the node may not continue without one.
		 */
		NO_LEADER

	}

}
