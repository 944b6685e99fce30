package review;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A rollout is completed. Later a second operator orders the same rollout, and the configuration changes.
 */
final class SameVersionMove {

	private static final int APPLY_MILLIS = 2_000;

	private static final int DURATION_SECONDS = 12;

	/**
	 * Time from the end of the rollout to the second order of it.
	 */
	private static final int SECOND_ORDER_MILLIS = 8_000;

	private static final int ROUNDS = 15;

	private SameVersionMove() {
	}

	public static void main(String[] arguments) throws Exception {
		Case.main(arguments[0], SameVersionMove::run);
	}

	private static boolean run(Recorder record, boolean trouble) throws Exception {
		try (Mesh mesh = new Mesh(record, 1)) {
			for (String zone : List.of("a", "b", "c")) {
				mesh.addControl(zone);
			}
			mesh.addNode("a", "catalogue");
			mesh.addNode("b", "catalogue");
			mesh.addNode("c", "counter");
			mesh.startAll();
			Worker old = worker(record, mesh, 0, "v1");
			Worker counter = worker(record, mesh, 2, "v1");
			mesh.replace(0, configuration(1, "catalogue"));
			mesh.awaitReady(mesh.nodes, 20_000);
			Mesh.sleep(4_000);
			Worker next = worker(record, mesh, 1, "v2");
			List<Worker> workers = List.of(old, next, counter);
			Mesh.sleep(1_000);
			order(record, mesh);
			awaitCompleted(record, mesh, workers);
			record.line("the old worker is stopped");
			old.close();
			Mesh.sleep(SECOND_ORDER_MILLIS);
			send(record, mesh, "before", workers);
			if (trouble) {
				order(record, mesh);
			}
			Mesh.sleep(2_000);
			mesh.replace(1, configuration(2, "counter"));
			Mesh.sleep(APPLY_MILLIS + 500);
			boolean held = send(record, mesh, "after", workers) == 0;
			if (trouble) {
				recordRestart(record, mesh, mesh.nodes.getFirst());
			}
			for (Mesh.Machine machine : mesh.nodes) {
				mesh.recordLog(machine, "rejected version");
			}
			return held;
		}
	}

	private static void recordRestart(Recorder record, Mesh mesh, Mesh.Machine machine) throws Exception {
		mesh.kill(machine);
		mesh.start(machine, false);
		Mesh.sleep(3_000);
		record.line("%s is ready 3 s after its start: %s", machine.name(), mesh.isReady(machine));
	}

	private static Worker worker(Recorder record, Mesh mesh, int node, String version) throws Exception {
		Mesh.Machine machine = mesh.nodes.get(node);
		return new Worker(record, machine, "i-" + machine.name() + "-" + version, version, Mesh.HEARTBEAT_MILLIS);
	}

	private static void order(Recorder record, Mesh mesh) {
		String body = "{\"service\":\"catalogue\",\"target_version\":\"v2\",\"duration_s\":" + DURATION_SECONDS
				+ "}";
		Optional<Http.Message> answer = mesh.order("POST", "/lavenderroad/Rollouts.Begin",
				Map.of("Content-Type", "application/json"), body, 10_000);
		record.line("Rollouts.Begin %s: %s", body,
				answer.map((message) -> message.status() + " " + message.text()).orElse("no clear answer"));
	}

	private static void awaitCompleted(Recorder record, Mesh mesh, List<Worker> workers) {
		for (int attempt = 0; attempt < 80; attempt++) {
			call(mesh, "during-" + attempt);
			String state = mesh.order("GET", "/lavenderroad/Rollouts.Read/catalogue", Map.of(), "", 3_000)
				.map(Http.Message::text)
				.orElse("no clear answer");
			if (state.contains("completed")) {
				record.line("Rollouts.Read: %s", state);
				return;
			}
			Mesh.sleep(200);
		}
		throw new Mesh.CannotRun("the rollout was not completed");
	}

	// Sends a request to each node and returns how many were not served.
	private static int call(Mesh mesh, String id) {
		int refused = 0;
		for (Mesh.Machine entry : mesh.nodes) {
			try {
				Http.Message answer = Http.exchange(entry.outbound(), "GET", "/stock/millis/5", Configuration.HOST,
						Map.of("X-Request-Id", id + "-" + entry.name(), "X-Deadline-Milliseconds", "1900"),
						new byte[0], 2_100);
				refused += (answer.status() == 200) ? 0 : 1;
			}
			catch (IOException ex) {
				refused++;
			}
		}
		return refused;
	}

	private static String configuration(int version, String service) {
		return Configuration.of(version, List.of("catalogue", "counter"),
				List.of(new Configuration.Route("stock", "/stock/", true, 2_000, service)));
	}

	// Returns how many requests of the new route ran at a worker of the old service.
	private static int send(Recorder record, Mesh mesh, String name, List<Worker> workers) {
		int refused = 0;
		for (int index = 0; index < ROUNDS; index++) {
			refused += call(mesh, name + "-" + index);
		}
		int old = 0;
		for (Worker worker : workers) {
			long runs = worker.runs.stream().filter((run) -> run.requestId().startsWith(name)).count();
			record.line("%s: worker %s of %s ran %d of %d requests", name, worker.id, worker.service, runs,
					ROUNDS * mesh.nodes.size());
			old += worker.service.equals("catalogue") ? (int) runs : 0;
		}
		record.line("%s: %d requests were not served", name, refused);
		return old;
	}

}
