package io.lavenderroad.policy.calls;

import java.util.Collection;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Circumstances of one choice.
 *
 * @param failureDomain failure domain of the caller's node
 * @param nowMillis clock reading in milliseconds
 * @param tried endpoints that this call has already tried
 * @param random source of randomness
 * @param rank rank of the call, lower for more urgent ones; {@link #NESTED_RANK} for a
 * call that is made for a running request
 */
public record BalancingContext(String failureDomain, long nowMillis, Collection<EndpointLoad> tried,
		RandomGenerator random, int rank) {

	/**
	 * Rank of nested calls. They are sent also where new calls find no room.
	 */
	public static final int NESTED_RANK = -1;

	public BalancingContext {
		Objects.requireNonNull(failureDomain, "failureDomain");
		Objects.requireNonNull(tried, "tried");
		Objects.requireNonNull(random, "random");
	}

	/**
	 * Creates the circumstances of a call without a rank.
	 * @param failureDomain failure domain of the caller's node
	 * @param nowMillis clock reading in milliseconds
	 * @param tried endpoints that this call has already tried
	 * @param random source of randomness
	 */
	public BalancingContext(String failureDomain, long nowMillis, Collection<EndpointLoad> tried,
			RandomGenerator random) {
		this(failureDomain, nowMillis, tried, random, Integer.MAX_VALUE);
	}

	/**
	 * Tells whether an endpoint may get this call.
	 * @param candidate the endpoint
	 * @return true if it accepts work, is not avoided and was not tried
	 */
	public boolean allows(EndpointLoad candidate) {
		return candidate.endpoint().state().acceptsWork() && !candidate.isAvoided(this.nowMillis, this.rank)
				&& !this.tried.contains(candidate);
	}

}
