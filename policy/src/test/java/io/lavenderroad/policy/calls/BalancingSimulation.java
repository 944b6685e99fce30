package io.lavenderroad.policy.calls;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.EndpointState;

/**
 * Simulation of calls from several nodes to servers of different speed on a virtual
 * clock. Each node is informed only by its own calls and by the reports in answers.
 */
final class BalancingSimulation {

	private static final int NODES = 10;

	private static final double LINK_MILLIS = 1.4;

	private static final double SMOOTHING = 0.1;

	private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::millis));

	private final List<Server> servers = new ArrayList<>();

	private final Random random;

	private final BalancingPolicy policy;

	private final double meanMillis;

	private final List<Double> latencies = new ArrayList<>();

	private double now;

	BalancingSimulation(BalancingPolicy policy, double[] speeds, int slots, double meanMillis, long seed) {
		this.policy = policy;
		this.meanMillis = meanMillis;
		this.random = new Random(seed);
		for (int index = 0; index < speeds.length; index++) {
			this.servers.add(new Server(index, speeds[index], slots));
		}
	}

	/**
	 * Schedules a change of the speed of a server.
	 * @param millis time of the change
	 * @param server index of the server
	 * @param speed factor on the duration of each call
	 */
	void slowDown(double millis, int server, double speed) {
		this.events.add(new Event(millis, () -> this.servers.get(server).speed = speed));
	}

	/**
	 * Simulates calls that arrive at random.
	 * @param callsPerSecond call rate over all nodes
	 * @param millis length of the simulation
	 * @return the latencies of all calls in milliseconds
	 */
	List<Double> run(double callsPerSecond, double millis) {
		List<List<EndpointLoad>> loadsByNode = new ArrayList<>();
		for (int node = 0; node < NODES; node++) {
			loadsByNode.add(this.servers.stream().map((server) -> new EndpointLoad(server.endpoint)).toList());
		}
		double arrival = 0;
		while (arrival < millis) {
			arrival += -Math.log(1 - this.random.nextDouble()) * 1_000 / callsPerSecond;
			List<EndpointLoad> loads = loadsByNode.get(this.random.nextInt(NODES));
			this.events.add(new Event(arrival, () -> call(loads)));
		}
		while (!this.events.isEmpty()) {
			Event next = this.events.poll();
			this.now = next.millis();
			next.action().run();
		}
		return this.latencies;
	}

	private void call(List<EndpointLoad> loads) {
		BalancingContext context = new BalancingContext("soweto", (long) this.now, List.of(), this.random);
		EndpointLoad target = this.policy.choose(loads, context).orElseThrow();
		target.started();
		double start = this.now;
		Server server = this.servers.get(loads.indexOf(target));
		schedule(LINK_MILLIS, () -> server.accept(() -> schedule(LINK_MILLIS, () -> {
			double took = this.now - start;
			target.recordReport((long) this.now, server.load(), server.serviceMillis);
			target.finished((long) this.now, took, false);
			this.latencies.add(took);
		})));
	}

	private void schedule(double millis, Runnable action) {
		this.events.add(new Event(this.now + millis, action));
	}

	// Log-normal distribution; the standard deviation of the logarithm is 0.8.
	private double work() {
		double spread = 0.8;
		return this.meanMillis * Math.exp(spread * this.random.nextGaussian() - spread * spread / 2);
	}

	private record Event(double millis, Runnable action) {

	}

	private final class Server {

		private final Endpoint endpoint;

		private final int slots;

		private final Deque<Runnable> waiting = new ArrayDeque<>();

		private double speed;

		private int running;

		private double serviceMillis;

		private Server(int index, double speed, int slots) {
			this.speed = speed;
			this.slots = slots;
			this.endpoint = new Endpoint("node-" + index, 1, 1, EndpointState.READY, "catalogue", "v1", "gauteng",
					"soweto", "127.0.0.1:" + (7_000 + index), slots, 100, "");
		}

		private int load() {
			return this.running + this.waiting.size();
		}

		private void accept(Runnable answer) {
			if (this.running < this.slots) {
				run(answer);
			}
			else {
				this.waiting.add(answer);
			}
		}

		private void run(Runnable answer) {
			this.running++;
			double took = work() * this.speed;
			schedule(took, () -> {
				this.running--;
				this.serviceMillis += SMOOTHING * (took - this.serviceMillis);
				answer.run();
				if (!this.waiting.isEmpty()) {
					run(this.waiting.poll());
				}
			});
		}

	}

}
