package io.lavenderroad.node;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import io.lavenderroad.core.Clock;
import io.lavenderroad.core.wire.CallFailure;
import io.lavenderroad.policy.quota.QuotaGrant;
import io.lavenderroad.policy.quota.QuotaRequest;
import io.vavr.control.Either;

/**
 * Sends quota requests to the leader of the control group. Remembers the member that
 * granted last, follows the address that another member names, and tries the others one
 * after the other. Used by one thread.
 */
final class LeaderSearch {

	/**
	 * Maximum time for a request, several round trips between failure domains. A waiting
	 * caller waits no longer.
	 */
	static final long TIMEOUT_MILLIS = 100;

	private final Clock clock;

	private final Supplier<List<String>> members;

	private final QuotaTransport transport;

	private String leader = "";

	private int position;

	LeaderSearch(Clock clock, Supplier<List<String>> members, QuotaTransport transport) {
		this.clock = clock;
		this.members = members;
		this.transport = transport;
	}

	/**
	 * Sends a request.
	 * @param request the request
	 * @return the grant of the leader, or empty if it could not be reached in time
	 */
	Optional<QuotaGrant> send(QuotaRequest request) {
		long end = this.clock.millis() + TIMEOUT_MILLIS;
		int attempts = this.members.get().size() + 1;
		for (int attempt = 0; attempt < attempts; attempt++) {
			long remaining = end - this.clock.millis();
			String address = this.leader.isEmpty() ? nextMember() : this.leader;
			if (remaining <= 0 || address.isEmpty()) {
				break;
			}
			Either<CallFailure, QuotaGrant> answer = this.transport.send(address, request, remaining);
			if (answer.isRight() && answer.get().granting()) {
				this.leader = address;
				return Optional.of(answer.get());
			}
			this.leader = answer.map(QuotaGrant::leaderAddress)
				.getOrElse(Optional.empty())
				.filter((named) -> !named.equals(address))
				.orElse("");
		}
		return Optional.empty();
	}

	private String nextMember() {
		List<String> known = this.members.get();
		return known.isEmpty() ? "" : known.get(Math.floorMod(this.position++, known.size()));
	}

}
