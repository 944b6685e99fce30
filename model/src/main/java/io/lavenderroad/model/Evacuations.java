package io.lavenderroad.model;

import java.util.Collections;
import java.util.Objects;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Failure domains whose backend servers get no requests by order of an operator.
 *
 * @param failureDomains the evacuated failure domains
 * @param modifiedVersion mesh version that last changed the set
 */
public record Evacuations(SortedSet<String> failureDomains, long modifiedVersion) {

	/**
	 * No evacuated failure domain.
	 */
	public static final Evacuations NONE = new Evacuations(new TreeSet<>(), 0);

	public Evacuations {
		Objects.requireNonNull(failureDomains, "failureDomains");
		failureDomains = Collections.unmodifiableSortedSet(new TreeSet<>(failureDomains));
	}

	/**
	 * Returns whether a failure domain is evacuated.
	 * @param failureDomain name of the failure domain
	 * @return true if its backend servers get no requests
	 */
	public boolean contains(String failureDomain) {
		return this.failureDomains.contains(failureDomain);
	}

	/**
	 * Returns the set after an order.
	 * @param failureDomain failure domain of the order
	 * @param evacuated whether it is evacuated from now on
	 * @return the failure domains
	 */
	public SortedSet<String> with(String failureDomain, boolean evacuated) {
		TreeSet<String> next = new TreeSet<>(this.failureDomains);
		if (evacuated) {
			next.add(failureDomain);
		}
		else {
			next.remove(failureDomain);
		}
		return next;
	}

}
