package io.lavenderroad.bench.scenario;

import java.util.List;

import io.lavenderroad.bench.load.CallKind;

/**
 * A scenario: a deployment, the load on it, and the steps to run.
 *
 * @param name title of the scenario
 * @param network second octet of the loopback addresses
 * @param failureDomains names of the failure domains
 * @param controlMembers number of control members
 * @param workers groups of workers
 * @param calls kinds of calls
 * @param callsPerSecond rate of the load, 0 for none
 * @param seed seed of the load
 * @param steps the steps in order
 */
public record Scenario(String name, int network, List<String> failureDomains, int controlMembers,
		List<WorkerGroup> workers, List<CallKind> calls, int callsPerSecond, int seed, List<Step> steps) {

	public Scenario {
		failureDomains = List.copyOf(failureDomains);
		workers = List.copyOf(workers);
		calls = List.copyOf(calls);
		steps = List.copyOf(steps);
	}

	/**
	 * Workers of one service and version.
	 *
	 * @param service name of the service
	 * @param version backend server version
	 * @param count number of workers
	 * @param slots slots of each backend server
	 * @param behaviour behaviour of the stub backend servers as {@code name=value}
	 */
	public record WorkerGroup(String service, String version, int count, int slots, List<String> behaviour) {

		public WorkerGroup {
			behaviour = List.copyOf(behaviour);
		}

	}

}
