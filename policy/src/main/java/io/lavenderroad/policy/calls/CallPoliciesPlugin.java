package io.lavenderroad.policy.calls;

import io.lavenderroad.core.kernel.Kernel;
import io.lavenderroad.core.kernel.Plugin;

/**
 * Registers the balancing policies.
 */
public final class CallPoliciesPlugin implements Plugin {

	@Override
	public void register(Kernel kernel) {
		kernel.register(BalancingPolicy.EXTENSION_POINT, TwoChoices.NAME, new TwoChoices());
		kernel.register(BalancingPolicy.EXTENSION_POINT, ShortestTime.NAME, new ShortestTime());
		kernel.register(BalancingPolicy.EXTENSION_POINT, RoundRobin.NAME, new RoundRobin());
	}

}
