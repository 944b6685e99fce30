package io.lavenderroad.policy.calls;

import java.util.List;
import java.util.Optional;

import io.lavenderroad.core.kernel.ExtensionPoint;

/**
 * Chooses the endpoint for a call.
 */
@FunctionalInterface
public interface BalancingPolicy {

	/**
	 * Extension point where balancing policies are registered by name.
	 */
	ExtensionPoint<BalancingPolicy> EXTENSION_POINT = new ExtensionPoint<>("balancing policy", BalancingPolicy.class);

	/**
	 * Chooses an endpoint.
	 * @param candidates endpoints that serve the service and version, in a stable order
	 * @param context context of the call
	 * @return the chosen endpoint, or empty if no candidate may get the call
	 */
	Optional<EndpointLoad> choose(List<EndpointLoad> candidates, BalancingContext context);

}
