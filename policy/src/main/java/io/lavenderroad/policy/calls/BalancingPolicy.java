package io.lavenderroad.policy.calls;

import java.util.List;
import java.util.Optional;

import io.lavenderroad.core.kernel.ExtensionPoint;

/**
 * Chooses the endpoint of a call.
 */
@FunctionalInterface
public interface BalancingPolicy {

	/**
	 * Where balancing policies are registered by name.
	 */
	ExtensionPoint<BalancingPolicy> POINT = new ExtensionPoint<>("balancing policy", BalancingPolicy.class);

	/**
	 * Chooses an endpoint.
	 * @param candidates endpoints that serve the service and version, in a stable order
	 * @param context circumstances of the call
	 * @return the choice, or empty if no candidate may get the call
	 */
	Optional<EndpointLoad> choose(List<EndpointLoad> candidates, BalancingContext context);

}
