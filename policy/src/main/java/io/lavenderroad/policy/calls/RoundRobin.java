package io.lavenderroad.policy.calls;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Baseline for comparisons: chooses the candidates in turn and considers only their
 * announced state.
 */
public final class RoundRobin implements BalancingPolicy {

	/**
	 * Name under which the policy is registered.
	 */
	public static final String NAME = "round-robin";

	private final AtomicInteger next = new AtomicInteger();

	@Override
	public Optional<EndpointLoad> choose(List<EndpointLoad> candidates, BalancingContext context) {
		for (int attempt = 0; attempt < candidates.size(); attempt++) {
			int index = Math.floorMod(this.next.getAndIncrement(), candidates.size());
			EndpointLoad candidate = candidates.get(index);
			if (candidate.endpoint().state().acceptsWork() && !context.tried().contains(candidate)) {
				return Optional.of(candidate);
			}
		}
		return Optional.empty();
	}

}
