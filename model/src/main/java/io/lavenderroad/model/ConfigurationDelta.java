package io.lavenderroad.model;

import java.util.List;

/**
 * Difference between two versions of a slice.
 *
 * @param fromVersion version that the receiver has in force
 * @param toVersion version after the delta
 * @param changed new and changed services
 * @param removed names of services that leave the slice
 * @param digest digest of the whole slice after the delta
 */
public record ConfigurationDelta(long fromVersion, long toVersion, List<ServiceConfiguration> changed,
		List<String> removed, String digest) {

	public ConfigurationDelta {
		changed = List.copyOf(changed);
		removed = List.copyOf(removed);
	}

}
