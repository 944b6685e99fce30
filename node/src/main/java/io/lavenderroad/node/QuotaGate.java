package io.lavenderroad.node;

import java.util.Optional;

import io.lavenderroad.model.Team;

/**
 * Admits the requests of teams within their quotas, which hold over all nodes together.
 */
public interface QuotaGate {

	/**
	 * Takes a token of a team. Waits a bounded time for a token if the node holds none. A
	 * team without a quota is admitted at once.
	 * @param team team of the request
	 * @param deadlineMillis deadline of the request in milliseconds of the node's clock
	 * @return the refusal, or empty if the request is admitted
	 */
	Optional<QuotaRefusal> admit(Team team, long deadlineMillis);

	/**
	 * Gives back the token of an admitted request that was refused as not run.
	 * @param team team of the request
	 */
	void giveBack(Team team);

}
