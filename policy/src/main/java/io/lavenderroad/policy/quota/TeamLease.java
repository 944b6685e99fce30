package io.lavenderroad.policy.quota;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Tokens that a node holds for one team.
 */
final class TeamLease {

	/**
	 * Period of the expected demand that tokens are requested for in advance. Requests in
	 * advance are at least 100 ms apart, so it covers two lost ones.
	 */
	private static final double ADVANCE_SECONDS = 0.3;

	private static final long DEMAND_MILLIS = 1_000;

	/**
	 * Time after a use for which at least one token is held in advance. With 1 s, callers
	 * with one request a second find no token.
	 */
	private static final long KEEP_MILLIS = 3_000;

	/**
	 * Minimum time between two requests for a team that is beyond its quota.
	 */
	private static final long MINIMUM_DENIAL_MILLIS = 50;

	/**
	 * Tokens for waiting requests, then tokens granted in advance; each ordered by
	 * expiry.
	 */
	private final Deque<Lot> immediate = new ArrayDeque<>();

	private final Deque<Lot> advance = new ArrayDeque<>();

	private final RecentCount uses = new RecentCount();

	private int held;

	private int waiting;

	private int returned;

	private boolean unreported;

	private long deniedUntilMillis = Long.MIN_VALUE;

	private long quotaAtMillis;

	/**
	 * Uses in the window before the contact with the leader was lost.
	 */
	private int fallbackLimit;

	/**
	 * Whether the leader has answered a report with expected demand and got none without
	 * since. It then reserves the rate of this node while the node is silent.
	 */
	private boolean active;

	private boolean reportedActive;

	boolean take(long nowMillis) {
		expire(nowMillis);
		Deque<Lot> lots = this.immediate.isEmpty() ? this.advance : this.immediate;
		if (lots.isEmpty()) {
			return false;
		}
		Lot lot = lots.removeFirst();
		if (lot.count() > 1) {
			lots.addFirst(new Lot(lot.count() - 1, lot.expiresMillis()));
		}
		this.held--;
		this.unreported = true;
		this.uses.add(1, nowMillis);
		return true;
	}

	boolean takeWithoutLeader(long nowMillis) {
		if (this.uses.sum(nowMillis) >= this.fallbackLimit) {
			return false;
		}
		this.uses.add(1, nowMillis);
		return true;
	}

	void giveBack() {
		this.returned++;
		this.unreported = true;
	}

	void waiting(int change) {
		this.waiting += change;
	}

	void contactLost(long nowMillis) {
		this.fallbackLimit = this.active ? this.uses.sum(nowMillis) : 0;
	}

	boolean isDenied(long nowMillis) {
		return nowMillis < this.deniedUntilMillis;
	}

	long retryAfterMillis(long nowMillis) {
		return Math.max(1, this.quotaAtMillis - nowMillis);
	}

	boolean isUrgent(long nowMillis) {
		return wanted() > 0 && !isDenied(nowMillis);
	}

	boolean needsTokens(long nowMillis, int target) {
		expire(nowMillis);
		return !isDenied(nowMillis) && 2 * this.held < target;
	}

	boolean needsReport(int target) {
		return this.unreported || this.reportedActive && target == 0;
	}

	boolean isUnused(long nowMillis) {
		return this.waiting == 0 && this.held == 0 && !this.unreported && !this.reportedActive
				&& this.uses.sum(nowMillis) == 0;
	}

	/**
	 * Returns how many tokens the node should hold in advance.
	 * @param nowMillis clock reading in milliseconds
	 * @return tokens
	 */
	int expected(long nowMillis) {
		int expected = (int) Math.ceil(demand(nowMillis) * ADVANCE_SECONDS);
		return (expected > 0) ? expected : Math.min(1, this.uses.sumOfLast(KEEP_MILLIS, nowMillis));
	}

	boolean isBusy(long nowMillis) {
		return demand(nowMillis) > 0;
	}

	private int demand(long nowMillis) {
		return this.uses.sumOfLast(DEMAND_MILLIS, nowMillis) + this.waiting;
	}

	TeamDemand report(String team, long nowMillis, int target) {
		expire(nowMillis);
		boolean denied = isDenied(nowMillis);
		// Tokens that waiting requests are about to take count as used. Otherwise the
		// leader would grant the whole level in addition to them.
		int unused = Math.max(0, this.held - this.waiting);
		TeamDemand demand = new TeamDemand(team, denied ? 0 : wanted(), denied ? 0 : target, unused, this.returned);
		this.returned = 0;
		this.unreported = false;
		this.reportedActive = demand.wanted() + demand.expected() > 0;
		this.active &= this.reportedActive;
		return demand;
	}

	void reportFailed() {
		this.unreported = true;
	}

	void granted(TeamGrant grant, long sentMillis, long nowMillis) {
		this.active = this.reportedActive;
		add(this.immediate, grant.immediate(), sentMillis + QuotaTimes.IMMEDIATE_TOKEN_MILLIS);
		add(this.advance, grant.advance(), sentMillis + QuotaTimes.ADVANCE_TOKEN_MILLIS);
		if (grant.retryAfterMillis() > 0) {
			this.quotaAtMillis = nowMillis + grant.retryAfterMillis();
			this.deniedUntilMillis = nowMillis + Math.max(MINIMUM_DENIAL_MILLIS, grant.retryAfterMillis());
		}
	}

	private int wanted() {
		return Math.max(0, this.waiting - this.held);
	}

	private void add(Deque<Lot> lots, int count, long expiresMillis) {
		if (count > 0) {
			lots.addLast(new Lot(count, expiresMillis));
			this.held += count;
		}
	}

	private void expire(long nowMillis) {
		expire(this.immediate, nowMillis);
		expire(this.advance, nowMillis);
	}

	private void expire(Deque<Lot> lots, long nowMillis) {
		while (!lots.isEmpty() && lots.getFirst().expiresMillis() <= nowMillis) {
			int count = lots.removeFirst().count();
			this.held -= count;
			this.returned += count;
			this.unreported = true;
		}
	}

	/**
	 * Tokens with the same expiry.
	 *
	 * @param count number of tokens
	 * @param expiresMillis time from which they may not be used
	 */
	private record Lot(int count, long expiresMillis) {

	}

}
