package io.lavenderroad.model;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Observations of many nodes by service, route and version. Evidence is added, so each
 * observation must be reported once.
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

	/**
	 * Creates evidence.
	 * @param observations observations by key
	 * @return the evidence
	 */
	public static Evidence of(Map<ObservationKey, Observations> observations) {
		return new Evidence(new TreeMap<>(observations));
	}

	/**
	 * Returns the observations.
	 * @return sorted by service, route and version
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

	/**
	 * Tells whether there is nothing to report.
	 * @return true if empty
	 */
	public boolean isEmpty() {
		return this.observations.isEmpty();
	}

	/**
	 * Adds other evidence.
	 * @param other the other evidence
	 * @return the sum
	 */
	public Evidence plus(Evidence other) {
		TreeMap<ObservationKey, Observations> sum = new TreeMap<>(this.observations);
		other.observations.forEach((key, value) -> sum.merge(key, value, Observations::plus));
		return new Evidence(sum);
	}

}
