package io.lavenderroad.node;

/**
 * Asks a holder to record that a call is about to run.
 *
 * @param key digest of service, customer and key
 * @param content digest of the request
 * @param claimant id of the node that wants to run the call
 * @param incarnation start time of that node, milliseconds since the epoch
 * @param attempt number of the attempt at that node
 */
record KeyClaim(KeyDigest key, KeyDigest content, String claimant, long incarnation, long attempt) {

	/**
	 * Tells whether a record was written by this claim.
	 * @param record a record of the same key
	 * @return true if it was
	 */
	boolean wrote(KeyRecord record) {
		return this.claimant.equals(record.claim().claimant()) && this.incarnation == record.claim().incarnation()
				&& this.attempt == record.claim().attempt();
	}

}
