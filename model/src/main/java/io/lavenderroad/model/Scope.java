package io.lavenderroad.model;

import java.util.Set;

/**
 * What part of the configuration and which endpoints a process needs.
 *
 * @param all true for relays and control members, which need everything
 * @param ownServices services whose backend servers stand beside the process; the
 * services that they call and all services open to callers are in scope as well
 */
public record Scope(boolean all, Set<String> ownServices) {

	public Scope {
		ownServices = Set.copyOf(ownServices);
	}

	/**
	 * Returns the scope of a relay.
	 * @return the scope that holds everything
	 */
	public static Scope everything() {
		return new Scope(true, Set.of());
	}

	/**
	 * Returns the scope of a leaf node.
	 * @param service service of the backend server beside the node
	 * @return the scope
	 */
	public static Scope of(String service) {
		return new Scope(false, Set.of(service));
	}

}
