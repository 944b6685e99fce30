package io.lavenderroad.model;

/**
 * How current the configuration of a node is.
 *
 * @param rootAgeMillis age of the last root confirmation in milliseconds: the time since
 * the last confirmation from a control member that was in contact with a quorum
 * @param newestVersion newest version that was announced to the node, active or not
 */
public record ConfigurationFreshness(long rootAgeMillis, long newestVersion) {

	/**
	 * A configuration that a root confirmed just now, without any newer version
	 * announced.
	 */
	public static final ConfigurationFreshness CURRENT = new ConfigurationFreshness(0, 0);

	@Override
	public String toString() {
		return "newest known version " + this.newestVersion + ", last word from a root " + this.rootAgeMillis
				+ " ms ago";
	}

}
