package io.lavenderroad.policy.quota;

import java.util.List;

/**
 * Report and request of a node for all of its teams.
 *
 * @param nodeId id of the node
 * @param incarnation start time of the node process in milliseconds; a larger one
 * replaces the earlier process
 * @param sequence number of the request, increasing within the incarnation
 * @param teams one entry for each team
 */
public record QuotaRequest(String nodeId, long incarnation, long sequence, List<TeamDemand> teams) {

	public QuotaRequest {
		teams = List.copyOf(teams);
	}

}
