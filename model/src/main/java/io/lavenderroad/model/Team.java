package io.lavenderroad.model;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import io.lavenderroad.model.binding.ConfigurationBinding;

/**
 * A team whose callers identify themselves with access keys. Only digests of the keys are
 * held, so that no process but the control members stores a key.
 *
 * @param name name of the team, unique in the mesh
 * @param keyDigests digests of the access keys, see {@link #keyDigest(String)}
 * @param priority priority of the team's calls, 0 is the highest; it goes before the
 * priority of the route
 * @param quota limit on the requests of the team, if there is one
 * @param modifiedVersion mesh version that last changed the team
 */
public record Team(String name, List<String> keyDigests, int priority, Optional<Quota> quota, long modifiedVersion) {

	public Team {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(quota, "quota");
		keyDigests = List.copyOf(keyDigests);
	}

	/**
	 * Returns the digest of an access key.
	 * @param key the key as callers send it
	 * @return lower-case hexadecimal text of the SHA-256 digest
	 */
	public static String keyDigest(String key) {
		return HexFormat.of().formatHex(ConfigurationBinding.sha256(key.getBytes(StandardCharsets.UTF_8)));
	}

	Team withModifiedVersion(long version) {
		return new Team(this.name, this.keyDigests, this.priority, this.quota, version);
	}

	/**
	 * Returns whether two teams are equal, ignoring the mesh version that last changed
	 * them.
	 * @param other the other team
	 * @return true if only the modified version may differ
	 */
	public boolean equalsIgnoringVersion(Team other) {
		return withModifiedVersion(other.modifiedVersion).equals(other);
	}

}
