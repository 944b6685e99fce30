package io.lavenderroad.policy.calls;

import java.util.Optional;

import io.lavenderroad.model.Team;

/**
 * Rank of a call: one number by which calls are ordered, first by the priority of their
 * team, then by the priority of their route. Lower numbers rank higher. Without a team
 * the rank is the priority of the route. A nested call carries no key, so it has the rank
 * of its route without a team and is not put behind new calls of lower teams.
 */
public final class CallRank {

	/**
	 * Number of route priorities that are distinguished; higher ones count as the last.
	 * {@link AdmissionQueue} doubles a rank, so the highest rank stays below 2 to the
	 * power of 30.
	 */
	static final int ROUTE_PRIORITIES = 1 << 14;

	/**
	 * Number of team priorities that are distinguished; higher ones count as the last.
	 */
	static final int TEAM_PRIORITIES = 1 << 15;

	private CallRank() {
	}

	/**
	 * Returns the rank of a call.
	 * @param team team that makes the call, if there is one
	 * @param routePriority priority of the route, 0 is the highest
	 * @return the rank, 0 is the highest
	 */
	public static int of(Optional<Team> team, int routePriority) {
		int teamPriority = team.map(Team::priority).orElse(0);
		return Math.clamp(teamPriority, 0, TEAM_PRIORITIES - 1) * ROUTE_PRIORITIES
				+ Math.clamp(routePriority, 0, ROUTE_PRIORITIES - 1);
	}

	/**
	 * Returns the rank of nested calls that a request makes.
	 * @param rank rank of the request
	 * @return its rank without the priority of the team
	 */
	public static int ofNestedCalls(int rank) {
		return rank % ROUTE_PRIORITIES;
	}

}
