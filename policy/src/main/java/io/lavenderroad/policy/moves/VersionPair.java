package io.lavenderroad.policy.moves;

import io.lavenderroad.model.Observations;

/**
 * Observations of both versions on one route over the same period.
 *
 * @param oldVersion observations of the old version
 * @param newVersion observations of the new version
 */
public record VersionPair(Observations oldVersion, Observations newVersion) {

	/**
	 * No observations.
	 */
	public static final VersionPair NONE = new VersionPair(Observations.NONE, Observations.NONE);

	/**
	 * Adds other observations.
	 * @param other the other observations
	 * @return the sum
	 */
	public VersionPair plus(VersionPair other) {
		return new VersionPair(this.oldVersion.plus(other.oldVersion), this.newVersion.plus(other.newVersion));
	}

	boolean isComparable() {
		return hasTrials(this.oldVersion) && hasTrials(this.newVersion);
	}

	private static boolean hasTrials(Observations observations) {
		return observations.calls() + observations.refusals() > 0;
	}

}
