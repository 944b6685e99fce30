package io.lavenderroad.model;

/**
 * Limits of a service at each of its backend servers.
 *
 * @param queueLength requests that may wait for a slot
 * @param customerShareBasisPoints largest share of slots and queue that one customer may
 * hold while others wait, in 1/10,000
 * @param retryBudgetBasisPoints retries allowed per call, in 1/10,000
 */
public record ServiceLimits(int queueLength, int customerShareBasisPoints, int retryBudgetBasisPoints) {

	/**
	 * Limits of a service whose parameters set none: a queue of 24, half of the places
	 * for one customer, one retry in ten calls.
	 */
	public static final ServiceLimits DEFAULT = new ServiceLimits(24, 5_000, 1_000);

}
