package io.lavenderroad.policy.moves;

import java.util.Collection;

import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.EndpointState;

/**
 * Backend servers of one version that take work.
 *
 * @param readyServers number of servers in state {@code READY}
 * @param readySlots their slots, scaled by the relative speed of a slot
 * @param coldServers number of servers in state {@code COLD}
 * @param youngColdServers cold servers that started at most
 * {@link #COLD_START_LIMIT_MILLIS} ago
 */
public record VersionServers(int readyServers, double readySlots, int coldServers, int youngColdServers) {

	/**
	 * Longest cold start that excuses slow calls. A server that stays cold for longer is
	 * compared like any other, so that a version cannot hide behind the state.
	 */
	public static final long COLD_START_LIMIT_MILLIS = 120_000;

	/**
	 * No servers.
	 */
	public static final VersionServers NONE = new VersionServers(0, 0, 0, 0);

	private static final double USUAL_CAPACITY = 100.0;

	/**
	 * Counts the servers of one version.
	 * @param endpoints endpoints of the service in any state
	 * @param version the version to count
	 * @param nowMillis the time, milliseconds since the epoch
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
				slots += endpoint.slots() * endpoint.capacity() / USUAL_CAPACITY;
			}
			if (endpoint.state() == EndpointState.COLD) {
				cold++;
				young += (nowMillis - endpoint.incarnation() <= COLD_START_LIMIT_MILLIS) ? 1 : 0;
			}
		}
		return new VersionServers(ready, slots, cold, young);
	}

	/**
	 * Tells whether any server takes work.
	 * @return true if at least one is ready or cold
	 */
	public boolean takeWork() {
		return this.readyServers + this.coldServers > 0;
	}

}
