package io.lavenderroad.policy.calls;

import java.util.Collection;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Context of one balancing decision.
 *
 * @param failureDomain failure domain of the node of the caller
 * @param nowMillis clock reading in milliseconds
 * @param tried endpoints that this call has already tried
 * @param random source of randomness
 * @param priority priority of the call, lower numbers for higher priorities;
 * {@link #NESTED_PRIORITY} for a nested call, which a backend server makes for a running
 * request
 * @param localLatencyMillis expected latency in milliseconds up to which an endpoint in
 * the caller's failure domain is preferred to all others, 0 if there is no such
 * preference
 */
public record BalancingContext(String failureDomain, long nowMillis, Collection<EndpointLoad> tried,
		RandomGenerator random, int priority, double localLatencyMillis) {

	/**
	 * Priority of nested calls. They are also sent to endpoints that have no free
	 * capacity for new calls.
	 */
	public static final int NESTED_PRIORITY = -1;

	public BalancingContext {
		Objects.requireNonNull(failureDomain, "failureDomain");
		Objects.requireNonNull(tried, "tried");
		Objects.requireNonNull(random, "random");
	}

	/**
	 * Creates the context of a call without a preference for its failure domain.
	 * @param failureDomain failure domain of the node of the caller
	 * @param nowMillis clock reading in milliseconds
	 * @param tried endpoints that this call has already tried
	 * @param random source of randomness
	 * @param priority priority of the call, lower numbers for higher priorities
	 */
	public BalancingContext(String failureDomain, long nowMillis, Collection<EndpointLoad> tried,
			RandomGenerator random, int priority) {
		this(failureDomain, nowMillis, tried, random, priority, 0);
	}

	/**
	 * Creates the context of a call of the lowest priority.
	 * @param failureDomain failure domain of the node of the caller
	 * @param nowMillis clock reading in milliseconds
	 * @param tried endpoints that this call has already tried
	 * @param random source of randomness
	 */
	public BalancingContext(String failureDomain, long nowMillis, Collection<EndpointLoad> tried,
			RandomGenerator random) {
		this(failureDomain, nowMillis, tried, random, Integer.MAX_VALUE);
	}

	/**
	 * Returns whether an endpoint may get this call.
	 * @param candidate the endpoint
	 * @return true if the endpoint accepts work, is not avoided and was not tried
	 */
	public boolean allows(EndpointLoad candidate) {
		return candidate.endpoint().state().acceptsWork() && !candidate.isAvoided(this.nowMillis, this.priority)
				&& !this.tried.contains(candidate);
	}

}
