package io.lavenderroad.bench.moves;

import java.util.List;

/**
 * Size of a service.
 *
 * @param name name in the table
 * @param workers backend servers of each version
 * @param callsPerSecond calls of all callers
 * @param thin whether there are too few calls for the evidence by the deadline
 */
record ServiceSize(String name, int workers, double callsPerSecond, boolean thin) {

	/**
	 * Calls per second of one worker at design capacity: 690,000 on 7,800 workers. The
	 * design page states no rate for the deployments of today, so it is used for them
	 * too.
	 */
	private static final double WORKER_RATE = 690_000.0 / 7_800;

	static final int SLOTS = 12;

	static final List<ServiceSize> ALL = List.of(usual("catalogue", 7), usual("counter", 3), usual("order-desk", 8),
			usual("dispatch", 3), new ServiceSize("average", 8, 690, false), usual("large", 200),
			new ServiceSize("counter, quiet", 3, 2, true));

	private static ServiceSize usual(String name, int workers) {
		return new ServiceSize(name, workers, workers * WORKER_RATE, false);
	}

}
