package io.lavenderroad.model;

import java.util.Set;

/**
 * The part of the configuration and the endpoints that a process needs.
 *
 * @param all true for relays and control members, which need everything
 * @param localServices services of the local backend servers of the process; the services
 * that they call and all services open to callers are in scope as well
 */
public record Scope(boolean all, Set<String> localServices) {

	public Scope {
		localServices = Set.copyOf(localServices);
	}

	/**
	 * Returns the scope of a relay.
	 * @return the scope that includes everything
	 */
	public static Scope everything() {
		return new Scope(true, Set.of());
	}

	/**
	 * Returns the scope of a leaf node.
	 * @param service service of the local backend server
	 * @return the scope
	 */
	public static Scope of(String service) {
		return new Scope(false, Set.of(service));
	}

}
