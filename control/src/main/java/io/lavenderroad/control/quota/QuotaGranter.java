package io.lavenderroad.control.quota;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.lavenderroad.control.raft.Leadership;
import io.lavenderroad.core.Clock;
import io.lavenderroad.core.wire.Connection;
import io.lavenderroad.core.wire.ConnectionHandler;
import io.lavenderroad.core.wire.WireException;
import io.lavenderroad.model.Team;
import io.lavenderroad.model.TeamSet;
import io.lavenderroad.policy.quota.QuotaGrant;
import io.lavenderroad.policy.quota.QuotaLedger;
import io.lavenderroad.policy.quota.QuotaRequest;
import io.lavenderroad.policy.quota.TeamUse;

/**
 * Grants quota of teams to nodes while this member is the leader.
 */
public final class QuotaGranter implements ConnectionHandler {

	/**
	 * Maximum age of the leader's contact with a quorum. It is below the election timeout
	 * of 750 ms, so no other member has been elected meanwhile.
	 */
	static final long MAXIMUM_QUORUM_AGE_MILLIS = 500;

	private final Clock clock;

	private final Supplier<TeamSet> teams;

	private final LongSupplier leaderQuorumAgeMillis;

	private final Supplier<Optional<String>> leaderAddress;

	/**
	 * Guards the ledger.
	 */
	private final ReentrantLock lock = new ReentrantLock();

	private QuotaLedger ledger;

	/**
	 * Creates a granter that does not lead.
	 * @param clock the clock
	 * @param teams teams of the active configuration
	 * @param leaderQuorumAgeMillis time since a quorum confirmed that this member is the
	 * leader, milliseconds; {@link Long#MAX_VALUE} if it is not
	 * @param leaderAddress frame address of the leader if it is another member
	 */
	public QuotaGranter(Clock clock, Supplier<TeamSet> teams, LongSupplier leaderQuorumAgeMillis,
			Supplier<Optional<String>> leaderAddress) {
		this.clock = clock;
		this.teams = teams;
		this.leaderQuorumAgeMillis = leaderQuorumAgeMillis;
		this.leaderAddress = leaderAddress;
	}

	/**
	 * Starts or drops the ledger.
	 * @param leadership the new state
	 */
	public void leadershipChanged(Leadership leadership) {
		leading(leadership.ready());
	}

	void leading(boolean ready) {
		this.lock.lock();
		try {
			if (!ready) {
				this.ledger = null;
			}
			else if (this.ledger == null) {
				this.ledger = new QuotaLedger(this.clock.millis());
			}
		}
		finally {
			this.lock.unlock();
		}
	}

	@Override
	public void received(Connection connection, Object message) {
		throw new WireException("message " + message.getClass().getSimpleName() + " needs an answer");
	}

	@Override
	public Object answer(Connection connection, Object request) {
		if (request instanceof QuotaRequest quotaRequest) {
			return grant(quotaRequest);
		}
		throw new WireException("request " + request.getClass().getSimpleName() + " is not about quotas");
	}

	/**
	 * Grants tokens if this member leads and a quorum confirmed it recently.
	 * @param request the request of a node
	 * @return the answer
	 */
	QuotaGrant grant(QuotaRequest request) {
		if (this.leaderQuorumAgeMillis.getAsLong() >= MAXIMUM_QUORUM_AGE_MILLIS) {
			return QuotaGrant.notLeader(this.leaderAddress.get());
		}
		TeamSet current = this.teams.get();
		this.lock.lock();
		try {
			if (this.ledger == null) {
				return QuotaGrant.notLeader(Optional.empty());
			}
			return new QuotaGrant(true, Optional.empty(),
					this.ledger.grant(request, (name) -> current.find(name).flatMap(Team::quota), this.clock.millis()));
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Returns the use of all quotas.
	 * @return teams with a quota in the order of their names; empty if this member does
	 * not lead
	 */
	public List<TeamUse> uses() {
		TeamSet current = this.teams.get();
		this.lock.lock();
		try {
			if (this.ledger == null) {
				return List.of();
			}
			long now = this.clock.millis();
			return current.all()
				.stream()
				.filter((team) -> team.quota().isPresent())
				.map((team) -> this.ledger.use(team.name(), team.quota().get(), now))
				.toList();
		}
		finally {
			this.lock.unlock();
		}
	}

}
