package io.lavenderroad.policy.quota;

import java.util.List;
import java.util.Optional;

/**
 * Answer to a {@link QuotaRequest}.
 *
 * @param granting whether the member is the leader and grants tokens at present
 * @param leaderAddress frame address of the leader if the member does not grant and knows
 * the leader
 * @param teams one entry for each team of the request
 */
public record QuotaGrant(boolean granting, Optional<String> leaderAddress, List<TeamGrant> teams) {

	public QuotaGrant {
		teams = List.copyOf(teams);
	}

	/**
	 * Answer of a member that does not grant.
	 * @param leaderAddress address of the leader, if known
	 * @return the answer
	 */
	public static QuotaGrant notLeader(Optional<String> leaderAddress) {
		return new QuotaGrant(false, leaderAddress, List.of());
	}

}
