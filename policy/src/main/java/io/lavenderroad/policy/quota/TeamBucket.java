package io.lavenderroad.policy.quota;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

import io.lavenderroad.model.Quota;

/**
 * Token bucket of one team at the granting leader. The level is reduced when an immediate
 * token is granted and when an advance token is reported as used. Advance tokens that are
 * not reported are bounded instead: together with a negative level they never exceed
 * {@link QuotaTimes#advanceLimit(Quota)}. Therefore tokens that lie unused at one node do
 * not cause refusals at another, and uses in a window stay below capacity, refill and
 * that limit together.
 */
class TeamBucket {

	/**
	 * A node without a report for this time is silent. Nodes with outstanding tokens
	 * report at least every 500 ms.
	 */
	static final long SILENT_MILLIS = 1_500;

	/**
	 * Outstanding tokens of a silent node are remembered for this time, as the node may
	 * be frozen and use them later.
	 */
	static final long FORGET_MILLIS = 600_000;

	private static final long SWEEP_MILLIS = 250;

	private final Map<String, NodeAccount> accounts = new HashMap<>();

	private final RecentCount granted = new RecentCount();

	private final RecentCount refused = new RecentCount();

	private Quota quota;

	private double level;

	private double capacity;

	private double reservedPerSecond;

	private long refilledMillis;

	private long sweptMillis;

	private long refusedTotal;

	private int advanceTotal;

	TeamBucket(Quota quota, long emptySinceMillis) {
		this.quota = quota;
		this.capacity = QuotaTimes.capacity(quota);
		this.refilledMillis = emptySinceMillis;
		this.sweptMillis = emptySinceMillis;
	}

	TeamGrant grant(QuotaRequest request, TeamDemand demand, Quota current, long nowMillis) {
		refill(nowMillis);
		change(current);
		NodeAccount account = this.accounts.computeIfAbsent(request.nodeId(), (id) -> new NodeAccount());
		this.level = Math.min(this.capacity, this.level - report(account, request, demand, nowMillis));
		int immediate = (int) Math.min(demand.wanted(), Math.max(0, Math.floor(this.level)));
		this.level -= immediate;
		account.immediate += immediate;
		int advance = (immediate < demand.wanted()) ? 0 : advance(demand);
		recordAdvance(account, advance);
		this.granted.add(immediate + advance, nowMillis);
		account.grants.add(immediate + advance, nowMillis);
		int missing = demand.wanted() - immediate;
		this.refused.add(missing, nowMillis);
		this.refusedTotal += missing;
		return new TeamGrant(demand.team(), immediate, advance, (missing > 0) ? retryAfterMillis() : 0);
	}

	/**
	 * Counts tokens that were granted in advance as outstanding.
	 * @param account account of the node
	 * @param tokens number of tokens
	 */
	void recordAdvance(NodeAccount account, int tokens) {
		account.advance += tokens;
		this.advanceTotal += tokens;
	}

	TeamUse use(String team, long nowMillis) {
		return new TeamUse(team, this.quota, this.granted.sum(nowMillis), this.refused.sum(nowMillis),
				this.refusedTotal);
	}

	private int advance(TeamDemand demand) {
		double free = Math.min(QuotaTimes.advanceLimit(this.quota) - Math.max(0, -this.level), this.level)
				- this.advanceTotal;
		return (int) Math.max(0, Math.min(demand.expected() - demand.held(), Math.floor(free)));
	}

	// Applies the report of a node. Returns the tokens that were used and not yet
	// charged, less those given back.
	private double report(NodeAccount account, QuotaRequest request, TeamDemand demand, long nowMillis) {
		account.heardMillis = nowMillis;
		account.active = demand.wanted() + demand.expected() > 0;
		account.reserved = false;
		if (request.incarnation() > account.incarnation) {
			// The earlier process may have used all that it held.
			double uncharged = account.advance;
			this.advanceTotal -= account.advance;
			account.restart(request.incarnation());
			return uncharged;
		}
		int used = Math.max(0, account.immediate + account.advance - demand.held() - demand.returned());
		int usedImmediate = Math.min(used, account.immediate);
		account.immediate -= usedImmediate;
		int usedAdvance = used - usedImmediate;
		int returned = Math.min(demand.returned(), account.immediate + account.advance - usedAdvance);
		int returnedAdvance = Math.min(returned, account.advance - usedAdvance);
		account.advance -= usedAdvance + returnedAdvance;
		this.advanceTotal -= usedAdvance + returnedAdvance;
		account.immediate -= returned - returnedAdvance;
		// A request may be refused by a server after its token was reported as used.
		int late = Math.min(demand.returned() - returned, account.creditable);
		account.creditable = Math.min(account.creditable - late + used, account.grants.sum(nowMillis));
		return usedAdvance - (returned - returnedAdvance) - late;
	}

	private void refill(long nowMillis) {
		if (nowMillis - this.sweptMillis >= SWEEP_MILLIS) {
			sweep(nowMillis);
		}
		double perMilli = Math.max(0, this.quota.requestsPerSecond() - this.reservedPerSecond) / 1000;
		this.level = Math.min(this.capacity, this.level + perMilli * Math.max(0, nowMillis - this.refilledMillis));
		this.refilledMillis = nowMillis;
	}

	private void change(Quota current) {
		if (!current.equals(this.quota)) {
			this.quota = current;
			this.capacity = QuotaTimes.capacity(current);
			this.level = Math.min(this.level, this.capacity);
		}
	}

	// Reserves the rate of silent nodes, which may continue without a leader, and reduces
	// the capacity by outstanding tokens that exceed the limit.
	private void sweep(long nowMillis) {
		this.sweptMillis = nowMillis;
		this.reservedPerSecond = 0;
		double late = this.advanceTotal;
		for (Iterator<NodeAccount> iterator = this.accounts.values().iterator(); iterator.hasNext();) {
			NodeAccount account = iterator.next();
			long silentMillis = nowMillis - account.heardMillis;
			if (silentMillis > FORGET_MILLIS || silentMillis > SILENT_MILLIS + QuotaTimes.FALLBACK_MILLIS
					&& account.immediate == 0 && account.advance == 0) {
				this.level -= account.advance;
				this.advanceTotal -= account.advance;
				iterator.remove();
			}
			else if (silentMillis > SILENT_MILLIS) {
				late += account.immediate;
				reserve(account, silentMillis);
			}
		}
		double excess = Math.max(0, late - QuotaTimes.advanceLimit(this.quota));
		this.capacity = Math.max(1, QuotaTimes.capacity(this.quota) - excess);
	}

	private void reserve(NodeAccount account, long silentMillis) {
		if (!account.active || silentMillis > SILENT_MILLIS + QuotaTimes.FALLBACK_MILLIS) {
			return;
		}
		double perSecond = account.grants.sum(account.heardMillis) * 1000.0 / QuotaTimes.WINDOW_MILLIS;
		this.reservedPerSecond += perSecond;
		if (!account.reserved) {
			// Charges what the node may have admitted before it was noticed as silent.
			account.reserved = true;
			this.level -= perSecond * silentMillis / 1000;
		}
	}

	private int retryAfterMillis() {
		double missing = Math.max(0, 1 - this.level);
		return (int) Math.min(60_000, Math.max(1, Math.ceil(missing * 1000 / this.quota.requestsPerSecond())));
	}

	/**
	 * Tokens of one node.
	 */
	static final class NodeAccount {

		private final RecentCount grants = new RecentCount();

		private long incarnation = Long.MIN_VALUE;

		private long heardMillis;

		/**
		 * Whether the node expected demand in its last report. Only then may it continue
		 * without a leader.
		 */
		private boolean active;

		private boolean reserved;

		private int immediate;

		private int advance;

		/**
		 * Tokens reported as used that may still be given back.
		 */
		private int creditable;

		private void restart(long newIncarnation) {
			this.incarnation = newIncarnation;
			this.immediate = 0;
			this.advance = 0;
			this.creditable = 0;
		}

	}

}
