package review;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Clients send orders whose path begins with an empty segment. The longest prefix that begins such a path is "/".
 */
final class EmptySegment {

	private static final int REPETITIONS = 5;

	private EmptySegment() {
	}

	public static void main(String[] arguments) throws Exception {
		Case.main(arguments[0], EmptySegment::run);
	}

	private static boolean run(Recorder record, boolean trouble) throws Exception {
		try (Mesh mesh = new Mesh(record, 1)) {
			for (String zone : List.of("a", "b", "c")) {
				mesh.addControl(zone);
			}
			mesh.addNode("a", "catalogue");
			mesh.addNode("b", "counter");
			mesh.startAll();
			List<Worker> workers = new ArrayList<>();
			for (Mesh.Machine machine : mesh.nodes) {
				workers.add(new Worker(record, machine, "i-" + machine.name(), "v1", Mesh.HEARTBEAT_MILLIS));
			}
			mesh.replace(0,
					Configuration.of(1, List.of("catalogue", "counter"),
							List.of(new Configuration.Route("all", "/", false, 2_000, "counter"),
									new Configuration.Route("shelf", "/shelf/", false, 2_000, "catalogue"))));
			mesh.awaitReady(mesh.nodes, 20_000);
			Mesh.sleep(5_000);
			String start = trouble ? "//" : "/";
			boolean held = true;
			for (int index = 0; index < REPETITIONS; index++) {
				held &= send(record, mesh, workers, start + "orders/" + index + "/cancel");
				held &= send(record, mesh, workers, start + "returns/shelf/" + index);
			}
			return held;
		}
	}

	private static boolean send(Recorder record, Mesh mesh, List<Worker> workers, String path) throws Exception {
		String id = "req" + path.replace('/', '-');
		Http.Message answer = Http.exchange(mesh.nodes.getFirst().outbound(), "POST", path, Configuration.HOST,
				Map.of("X-Request-Id", id, "X-Deadline-Milliseconds", "1900"), "order".getBytes(StandardCharsets.UTF_8),
				2_100);
		record.line("client sent %s: POST %s, and got %d: %s", id, path, answer.status(), answer.text().strip());
		Optional<Worker.Run> run = workers.stream()
			.flatMap((worker) -> worker.runs.stream())
			.filter((candidate) -> candidate.requestId().equals(id))
			.findFirst();
		if (run.isEmpty()) {
			return true;
		}
		String service = workers.stream()
			.filter((worker) -> worker.id.equals(run.get().worker()))
			.findFirst()
			.orElseThrow().service;
		boolean samePath = run.get().target().equals(path);
		boolean allowed = service.equals("counter");
		record.line("worker %s of %s ran %s as POST %s%s%s", run.get().worker(), service, id, run.get().target(),
				samePath ? "" : ": the path was changed", allowed ? "" : "; no route of it begins the path that was sent");
		return samePath && allowed;
	}

}
