package io.lavenderroad.bench.moves;

import java.util.List;

/**
 * Size of a service.
 *
 * @param name name of the service
 * @param group name of the line in the table
 * @param workers backend servers of each version
 * @param callsPerSecond calls of all callers
 * @param thin whether there are too few calls for the evidence by the deadline
 */
record ServiceSize(String name, String group, int workers, double callsPerSecond, boolean thin) {

	/**
	 * Calls per second of one worker at design capacity: 690,000 on 7,800 workers. The
	 * design page states no rate for the deployments of today, so it is used for them
	 * too.
	 */
	private static final double WORKER_RATE = 690_000.0 / 7_800;

	static final int SLOTS = 12;

	private static final String TODAY = "today";

	static final List<ServiceSize> ALL = List.of(usual("catalogue", TODAY, 7), usual("counter", TODAY, 3),
			usual("order-desk", TODAY, 8), usual("dispatch", TODAY, 3),
			new ServiceSize("average", "average", 8, 690, false), usual("large", "large", 200),
			new ServiceSize("counter, quiet", "quiet", 3, 2, true));

	private static ServiceSize usual(String name, String group, int workers) {
		return new ServiceSize(name, group, workers, workers * WORKER_RATE, false);
	}

}
