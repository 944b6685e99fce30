package io.lavenderroad.node;

import java.util.List;
import java.util.Optional;

import io.lavenderroad.model.CallRules;
import io.lavenderroad.model.ServiceConfiguration;
import io.lavenderroad.model.Team;
import io.lavenderroad.node.http.Cancellation;
import io.lavenderroad.policy.calls.CallRank;

/**
 * A validated call with its route.
 *
 * @param requestId id of the request, empty if it has none
 * @param service the service
 * @param rules rules of the route
 * @param method HTTP method
 * @param target path with query
 * @param headers end-to-end headers, names and values alternating
 * @param body complete request body
 * @param customer customer of the call, empty if unnamed
 * @param team team that made the call, if it sent an access key
 * @param key idempotency key, empty if there is none
 * @param objectiveMillis time by which the call should be answered (end of its latency
 * objective), on the clock of this node
 * @param deadlineMillis deadline of the call, on the clock of this node
 * @param attemptBudget retries that this hop and all later ones may spend
 * @param cancellation cancelled when the caller disconnects
 */
record RoutedCall(String requestId, ServiceConfiguration service, CallRules rules, String method, String target,
		List<String> headers, byte[] body, String customer, Optional<Team> team, String key, long objectiveMillis,
		long deadlineMillis, int attemptBudget, Cancellation cancellation) {

	/**
	 * Returns the rank of the call.
	 * @return the rank, 0 is the highest
	 */
	int rank() {
		return CallRank.of(this.team, this.rules.priority());
	}

	/**
	 * Returns the name of the team.
	 * @return the name, empty if there is no team
	 */
	String teamName() {
		return this.team.map(Team::name).orElse("");
	}

}
