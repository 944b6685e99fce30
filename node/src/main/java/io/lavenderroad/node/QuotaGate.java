package io.lavenderroad.node;

import java.util.Optional;

import io.lavenderroad.model.Team;

/**
 * Decides whether a request is within the quota of its team. Implementations are
 * thread-safe.
 */
public interface QuotaGate {

	/**
	 * Takes one request from the quota of a team. It may block while a lease is
	 * requested.
	 * @param team team of the request
	 * @param deadlineMillis deadline of the request, clock reading in milliseconds
	 * @return the refusal, or empty if the request is within the quota
	 */
	Optional<QuotaRefusal> admit(Team team, long deadlineMillis);

	/**
	 * Gives back what {@link #admit} took for a request that was refused as not run.
	 * @param team team of the request
	 */
	void giveBack(Team team);

}
