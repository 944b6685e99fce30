package io.lavenderroad.policy.moves;

import java.util.Collection;

import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.EndpointState;

/**
 * Number and capacity of the backend servers of one version that accept work.
 *
 * @param readyServers number of servers in state {@code READY}
 * @param readySlots slots of the ready servers, scaled by the relative speed of a slot
 * @param coldServers number of servers in state {@code COLD}
 * @param youngColdServers number of cold servers that started at most
 * {@link #COLD_START_LIMIT_MILLIS} ago
 */
public record VersionServers(int readyServers, double readySlots, int coldServers, int youngColdServers) {

	/**
	 * Maximum duration of a cold start during which slow calls are tolerated. A server
	 * that stays cold for longer is compared like any other, so that a bad version cannot
	 * avoid the comparison by remaining in this state.
	 */
	public static final long COLD_START_LIMIT_MILLIS = 120_000;

	/**
	 * No servers.
	 */
	public static final VersionServers NONE = new VersionServers(0, 0, 0, 0);

	private static final double STANDARD_CAPACITY = 100.0;

	/**
	 * Counts the servers of one version.
	 * @param endpoints endpoints of the service in any state
	 * @param version the version
	 * @param nowMillis current time, milliseconds since the epoch
	 * @return the counts
	 */
	public static VersionServers of(Collection<Endpoint> endpoints, String version, long nowMillis) {
		int ready = 0;
		double slots = 0;
		int cold = 0;
		int young = 0;
		for (Endpoint endpoint : endpoints) {
			if (!endpoint.version().equals(version)) {
				continue;
			}
			if (endpoint.state() == EndpointState.READY) {
				ready++;
				slots += endpoint.slots() * endpoint.capacity() / STANDARD_CAPACITY;
			}
			if (endpoint.state() == EndpointState.COLD) {
				cold++;
				young += (nowMillis - endpoint.incarnation() <= COLD_START_LIMIT_MILLIS) ? 1 : 0;
			}
		}
		return new VersionServers(ready, slots, cold, young);
	}

	/**
	 * Returns whether any server accepts work.
	 * @return true if at least one server is ready or cold
	 */
	public boolean acceptWork() {
		return this.readyServers + this.coldServers > 0;
	}

}
