package io.lavenderroad.policy.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Tokens that a node holds for its teams. Decides which requests are admitted and when
 * the node reports to the leader; one request is in flight at a time. It is not safe for
 * use by several threads at once.
 */
public class QuotaLeases {

	/**
	 * Minimum time between requests for tokens in advance, milliseconds. It bounds the
	 * load of the leader to ten messages a second from each node. Teams without a use in
	 * the last second cause no request before {@link #REPORT_INTERVAL_MILLIS}.
	 */
	private static final long ADVANCE_INTERVAL_MILLIS = 100;

	/**
	 * Maximum time until used or returned tokens are reported, milliseconds.
	 */
	private static final long REPORT_INTERVAL_MILLIS = 500;

	/**
	 * Time for which a failed request counts as evidence that no leader exists. A node
	 * without traffic does not try again by itself, so an older failure is no evidence.
	 */
	private static final long FAILURE_MILLIS = 250;

	private final String nodeId;

	private final long incarnation;

	private final Map<String, TeamLease> leases = new HashMap<>();

	private List<String> inFlight = List.of();

	private long sequence;

	private long sentMillis = Long.MIN_VALUE / 2;

	private long grantedMillis = Long.MIN_VALUE / 2;

	private long failedMillis = Long.MIN_VALUE / 2;

	private boolean withoutLeader;

	/**
	 * Creates leases without tokens.
	 * @param nodeId id of the node
	 * @param incarnation start time of the node process in milliseconds
	 */
	public QuotaLeases(String nodeId, long incarnation) {
		this.nodeId = nodeId;
		this.incarnation = incarnation;
	}

	/**
	 * Decides on a request of a team.
	 * @param team name of the team
	 * @param nowMillis clock reading in milliseconds
	 * @return the decision; a request that has to wait asks again after the next grant
	 */
	public QuotaAdmission take(String team, long nowMillis) {
		TeamLease lease = lease(team);
		if (lease.take(nowMillis)) {
			return QuotaAdmission.ADMITTED;
		}
		if (this.withoutLeader && nowMillis - this.failedMillis < FAILURE_MILLIS) {
			boolean mayContinue = nowMillis - this.grantedMillis <= QuotaTimes.FALLBACK_MILLIS;
			return (mayContinue && lease.takeWithoutLeader(nowMillis)) ? QuotaAdmission.ADMITTED
					: QuotaAdmission.NO_LEADER;
		}
		if (lease.isDenied(nowMillis)) {
			return new QuotaAdmission(QuotaAdmission.Kind.BEYOND_QUOTA, lease.retryAfterMillis(nowMillis));
		}
		return QuotaAdmission.WAIT;
	}

	/**
	 * Changes the number of requests of a team that wait for tokens.
	 * @param team name of the team
	 * @param change 1 when a request begins to wait, -1 when it ends
	 */
	public void waiting(String team, int change) {
		lease(team).waiting(change);
	}

	/**
	 * Returns the token of a request that was refused as not run. It goes to the leader
	 * with the next report, because its own expiry is not known any more.
	 * @param team name of the team
	 */
	public void giveBack(String team) {
		lease(team).giveBack();
	}

	/**
	 * Returns the request that is due.
	 * @param nowMillis clock reading in milliseconds
	 * @return the request, or empty if none is due
	 */
	public Optional<QuotaRequest> next(long nowMillis) {
		this.leases.values().removeIf((lease) -> lease.isUnused(nowMillis) && target(lease, nowMillis) == 0);
		long pause = nowMillis - this.sentMillis;
		boolean due = this.leases.values().stream().anyMatch((lease) -> isDue(lease, pause, nowMillis));
		if (!due) {
			return Optional.empty();
		}
		List<TeamDemand> demands = new ArrayList<>();
		this.leases.forEach((team, lease) -> {
			if (lease.needsTokens(nowMillis, target(lease, nowMillis)) || lease.isUrgent(nowMillis)
					|| lease.needsReport(target(lease, nowMillis))) {
				demands.add(lease.report(team, nowMillis, target(lease, nowMillis)));
			}
		});
		this.inFlight = demands.stream().map(TeamDemand::team).toList();
		this.sentMillis = nowMillis;
		return Optional.of(new QuotaRequest(this.nodeId, this.incarnation, ++this.sequence, demands));
	}

	/**
	 * Applies the grant of the leader to the newest request.
	 * @param grant the grant
	 * @param nowMillis clock reading in milliseconds
	 */
	public void granted(QuotaGrant grant, long nowMillis) {
		this.grantedMillis = nowMillis;
		this.withoutLeader = false;
		grant.teams().forEach((team) -> lease(team.team()).granted(team, this.sentMillis, nowMillis));
	}

	/**
	 * Notes that the newest request got no grant. What it returned counts as spent.
	 * @param nowMillis clock reading in milliseconds
	 */
	public void failed(long nowMillis) {
		this.failedMillis = nowMillis;
		this.inFlight.forEach((team) -> lease(team).reportFailed());
		if (!this.withoutLeader) {
			this.withoutLeader = true;
			this.leases.values().forEach((lease) -> lease.contactLost(nowMillis));
		}
	}

	/**
	 * Returns whether no leader granted the newest request.
	 * @return true without a leader
	 */
	public boolean isWithoutLeader() {
		return this.withoutLeader;
	}

	/**
	 * Returns whether there is nothing to request or to report.
	 * @return true if no team was used in the last window
	 */
	public boolean isIdle() {
		return this.leases.isEmpty();
	}

	/**
	 * Returns how many tokens the node should hold in advance.
	 * @param lease lease of the team
	 * @param nowMillis clock reading in milliseconds
	 * @return tokens
	 */
	int target(TeamLease lease, long nowMillis) {
		return lease.expected(nowMillis);
	}

	private boolean isDue(TeamLease lease, long pause, long nowMillis) {
		if (this.withoutLeader && pause < ADVANCE_INTERVAL_MILLIS) {
			return false;
		}
		return lease.isUrgent(nowMillis)
				|| pause >= advanceIntervalMillis(lease, nowMillis)
						&& lease.needsTokens(nowMillis, target(lease, nowMillis))
				|| pause >= REPORT_INTERVAL_MILLIS && lease.needsReport(target(lease, nowMillis)) || this.withoutLeader;
	}

	private static long advanceIntervalMillis(TeamLease lease, long nowMillis) {
		return lease.isBusy(nowMillis) ? ADVANCE_INTERVAL_MILLIS : REPORT_INTERVAL_MILLIS;
	}

	private TeamLease lease(String team) {
		return this.leases.computeIfAbsent(team, (name) -> new TeamLease());
	}

}
