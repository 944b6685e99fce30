package io.lavenderroad.model;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Observations of many nodes by service, route and version. Observations are summed, so
 * each one must be reported only once.
 */
public final class Evidence {

	/**
	 * No observations.
	 */
	public static final Evidence NONE = new Evidence(new TreeMap<>());

	private final SortedMap<ObservationKey, Observations> observations;

	private Evidence(TreeMap<ObservationKey, Observations> observations) {
		this.observations = Collections.unmodifiableSortedMap(observations);
	}

	public static Evidence of(Map<ObservationKey, Observations> observations) {
		return new Evidence(new TreeMap<>(observations));
	}

	/**
	 * Returns the observations.
	 * @return observations in the order of service, route and version
	 */
	public SortedMap<ObservationKey, Observations> observations() {
		return this.observations;
	}

	/**
	 * Returns the observations of one key.
	 * @param key the key
	 * @return the observations, {@link Observations#NONE} if there are none
	 */
	public Observations of(ObservationKey key) {
		return this.observations.getOrDefault(key, Observations.NONE);
	}

	public boolean isEmpty() {
		return this.observations.isEmpty();
	}

	/**
	 * Returns the sum of this and other evidence.
	 * @param other the other evidence
	 * @return the sum, with the observations of equal keys added
	 */
	public Evidence plus(Evidence other) {
		TreeMap<ObservationKey, Observations> sum = new TreeMap<>(this.observations);
		other.observations.forEach((key, value) -> sum.merge(key, value, Observations::plus));
		return new Evidence(sum);
	}

}
