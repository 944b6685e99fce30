package io.lavenderroad.model;

/**
 * What a node knows of how current its configuration is.
 *
 * @param rootAgeMillis age of the last word from a control member that was in contact
 * with a quorum
 * @param newestVersion newest version that the node has heard of, in force or not
 */
public record ConfigurationFreshness(long rootAgeMillis, long newestVersion) {

	/**
	 * The node heard from a control member just now, and of no newer version.
	 */
	public static final ConfigurationFreshness CURRENT = new ConfigurationFreshness(0, 0);

	@Override
	public String toString() {
		return "newest known version " + this.newestVersion + ", last word from a root " + this.rootAgeMillis
				+ " ms ago";
	}

}
