package io.lavenderroad.model;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Difference between two versions of a slice.
 *
 * @param fromVersion active version of the receiver
 * @param toVersion version after the delta
 * @param edit services and routes that changed or left the slice, and the limits
 * @param digest digest of the whole slice after the delta
 */
public record ConfigurationDelta(long fromVersion, long toVersion, ConfigurationEdit edit, String digest) {

	public ConfigurationDelta {
		Objects.requireNonNull(edit, "edit");
	}

	/**
	 * Creates a delta that changes services only.
	 * @param fromVersion active version of the receiver
	 * @param toVersion version after the delta
	 * @param changed new and changed services
	 * @param removed names of services that leave the slice
	 * @param digest digest of the whole slice after the delta
	 */
	public ConfigurationDelta(long fromVersion, long toVersion, List<ServiceConfiguration> changed,
			List<String> removed, String digest) {
		this(fromVersion, toVersion, new ConfigurationEdit(changed, removed, List.of(), List.of(), Optional.empty()),
				digest);
	}

	/**
	 * Returns the services that are new or changed.
	 * @return the services
	 */
	public List<ServiceConfiguration> changed() {
		return this.edit.services();
	}

	/**
	 * Returns the services that leave the slice.
	 * @return their names
	 */
	public List<String> removed() {
		return this.edit.removedServices();
	}

	/**
	 * Returns whether the two versions differ in the version number only.
	 * @param receiverLimits limits that the receiver has, or empty if they are not known
	 * @return true if the receiver may keep its content under the new version
	 */
	public boolean changesVersionOnly(Optional<CallerLimits> receiverLimits) {
		boolean limitsUnchanged = this.edit.limits().isEmpty() || this.edit.limits().equals(receiverLimits);
		return changed().isEmpty() && removed().isEmpty() && this.edit.routes().isEmpty()
				&& this.edit.removedRoutes().isEmpty() && limitsUnchanged && this.edit.teams().isEmpty()
				&& this.edit.evacuatedDomains().isEmpty();
	}

}
