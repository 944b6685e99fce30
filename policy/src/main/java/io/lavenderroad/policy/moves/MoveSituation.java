package io.lavenderroad.policy.moves;

import io.lavenderroad.model.Evidence;
import io.lavenderroad.model.MoveState;

/**
 * Input of a policy for one decision.
 *
 * @param nowMillis current time, milliseconds since the epoch
 * @param move durable state of the move
 * @param evidence observations of both versions by this leader
 * @param oldServers backend servers of the old version
 * @param newServers backend servers of the new version
 */
public record MoveSituation(long nowMillis, MoveState move, MoveEvidence evidence, VersionServers oldServers,
		VersionServers newServers) {

	/**
	 * Returns the observations since the start of the move or of this leader.
	 * @return merged evidence of both versions
	 */
	public Evidence sinceStart() {
		return this.evidence.sinceStart();
	}

	/**
	 * Returns the observations since the last step or the start of this leader.
	 * @return merged evidence of both versions
	 */
	public Evidence sinceStep() {
		return this.evidence.sinceStep();
	}

	/**
	 * Returns the call rate of the service for both versions together.
	 * @return calls and refusals per second
	 */
	public double callsPerSecond() {
		return this.evidence.callsPerSecond();
	}

}
