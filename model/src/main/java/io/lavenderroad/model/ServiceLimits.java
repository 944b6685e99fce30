package io.lavenderroad.model;

/**
 * Limits of a service that apply at each of its backend servers.
 *
 * @param queueLength maximum number of requests that wait for a slot
 * @param customerShareBasisPoints maximum share of slots and queue capacity that one
 * customer may hold while others wait, in 1/10,000
 * @param retryBudgetBasisPoints retries allowed per call, in 1/10,000
 */
public record ServiceLimits(int queueLength, int customerShareBasisPoints, int retryBudgetBasisPoints) {

	/**
	 * Limits of a service whose parameters set none: a queue of 24, half of the slots and
	 * queue capacity for one customer, one retry in ten calls.
	 */
	public static final ServiceLimits DEFAULT = new ServiceLimits(24, 5_000, 1_000);

}
