package io.lavenderroad.bench.moves;

import java.util.List;

/**
 * Number of workers and call rate of a simulated service.
 *
 * @param name name of the service
 * @param group group of services that share a row of the table
 * @param workers backend servers of each version
 * @param callsPerSecond calls per second of all callers together
 * @param thin whether there are too few calls for sufficient evidence by the deadline
 */
record ServiceSize(String name, String group, int workers, double callsPerSecond, boolean thin) {

	/**
	 * Calls per second of one worker at design capacity: 690,000 on 7,800 workers. The
	 * design page states no rate for the present deployments, so the same rate is used
	 * for them.
	 */
	private static final double DESIGN_CALLS_PER_SECOND = 690_000.0 / 7_800;

	static final int SLOTS = 12;

	private static final String TODAY = "today";

	static final List<ServiceSize> ALL = List.of(atDesignRate("catalogue", TODAY, 7), atDesignRate("counter", TODAY, 3),
			atDesignRate("order-desk", TODAY, 8), atDesignRate("dispatch", TODAY, 3),
			new ServiceSize("average", "average", 8, 690, false), atDesignRate("large", "large", 200),
			new ServiceSize("counter, quiet", "quiet", 3, 2, true));

	private static ServiceSize atDesignRate(String name, String group, int workers) {
		return new ServiceSize(name, group, workers, workers * DESIGN_CALLS_PER_SECOND, false);
	}

}
