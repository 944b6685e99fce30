package io.lavenderroad.policy.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import io.lavenderroad.model.Quota;

/**
 * Token buckets of all teams at the granting leader. Its buckets are empty when the
 * leadership begins and fill at the rate, since the earlier leader may have granted a
 * full burst. It is not safe for use by several threads at once.
 */
public class QuotaLedger {

	private final Map<String, TeamBucket> buckets = new HashMap<>();

	private final Map<String, Sender> senders = new HashMap<>();

	private final long startMillis;

	/**
	 * Creates a ledger with empty buckets.
	 * @param nowMillis beginning of the leadership, milliseconds
	 */
	public QuotaLedger(long nowMillis) {
		this.startMillis = nowMillis;
	}

	/**
	 * Applies the report of a node and grants tokens.
	 * @param request the request
	 * @param quotas finds the quota of a team; empty if it has none
	 * @param nowMillis clock reading in milliseconds
	 * @return a grant for each team, which is what it wants now if it has no quota; empty
	 * for a request that is older than one seen before
	 */
	public List<TeamGrant> grant(QuotaRequest request, Function<String, Optional<Quota>> quotas, long nowMillis) {
		if (!isNewest(request)) {
			return List.of();
		}
		List<TeamGrant> grants = new ArrayList<>();
		for (TeamDemand demand : request.teams()) {
			Optional<Quota> quota = quotas.apply(demand.team());
			if (quota.isEmpty()) {
				// The node may still have a configuration with a quota. Without tokens it
				// would refuse the team until it has the newer one.
				this.buckets.remove(demand.team());
				grants.add(new TeamGrant(demand.team(), demand.wanted(), 0, 0));
				continue;
			}
			TeamBucket bucket = this.buckets.computeIfAbsent(demand.team(),
					(team) -> newBucket(quota.get(), this.startMillis));
			grants.add(bucket.grant(request, demand, quota.get(), nowMillis));
		}
		return grants;
	}

	/**
	 * Returns the use of a team.
	 * @param team name of the team
	 * @param quota its quota
	 * @param nowMillis clock reading in milliseconds
	 * @return the use since the leadership began
	 */
	public TeamUse use(String team, Quota quota, long nowMillis) {
		TeamBucket bucket = this.buckets.get(team);
		return (bucket != null) ? bucket.use(team, nowMillis) : new TeamUse(team, quota, 0, 0, 0);
	}

	/**
	 * Creates the bucket of a team.
	 * @param quota quota of the team
	 * @param emptySinceMillis time at which the bucket was empty
	 * @return the bucket
	 */
	TeamBucket newBucket(Quota quota, long emptySinceMillis) {
		return new TeamBucket(quota, emptySinceMillis);
	}

	private boolean isNewest(QuotaRequest request) {
		Sender sender = this.senders.get(request.nodeId());
		if (sender != null && (request.incarnation() < sender.incarnation()
				|| request.incarnation() == sender.incarnation() && request.sequence() <= sender.sequence())) {
			return false;
		}
		this.senders.put(request.nodeId(), new Sender(request.incarnation(), request.sequence()));
		return true;
	}

	/**
	 * Newest request of a node.
	 *
	 * @param incarnation start time of the node process
	 * @param sequence number of the request
	 */
	private record Sender(long incarnation, long sequence) {

	}

}
