package io.lavenderroad.node;

/**
 * Claim of an idempotency key, which holders record before the call runs.
 *
 * @param key digest of service, customer and key
 * @param content digest of the request
 * @param claimant id of the node that is about to run the call
 * @param incarnation start time of that node, milliseconds since the epoch
 * @param attempt number of the attempt at that node
 */
record KeyClaim(KeyDigest key, KeyDigest content, String claimant, long incarnation, long attempt) {

	/**
	 * Returns whether a record was created by this claim.
	 * @param record a record of the same key
	 * @return true if this claim owns the record
	 */
	boolean owns(KeyRecord record) {
		return this.claimant.equals(record.claim().claimant()) && this.incarnation == record.claim().incarnation()
				&& this.attempt == record.claim().attempt();
	}

}
