package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The only node of a zone gets SIGTERM while requests of two seconds are sent to it. Its clients keep sending, since
 * fewer than half of the nodes of the zone are ready, until it takes no connections.
 */
final class LateStop {

	private static final int WORK_MILLIS = 2_000;

	private static final int DEADLINE_MILLIS = 2_900;

	private static final double EXCUSED_SENDING_SECONDS = 3.0;

	private static final double LAST_SIXTH_SECONDS = Mesh.GRACE_SECONDS * 5.0 / 6;

	private static final int SEND_INTERVAL_MILLIS = 150;

	private final Recorder record;

	private final Mesh mesh;

	private final AtomicInteger requestNumber = new AtomicInteger();

	private final AtomicBoolean sending = new AtomicBoolean(true);

	private final ConcurrentLinkedQueue<Sent> sent = new ConcurrentLinkedQueue<>();

	private LateStop(Recorder record, Mesh mesh) {
		this.record = record;
		this.mesh = mesh;
	}

	public static void main(String[] arguments) throws Exception {
		Case.main(arguments[0], LateStop::run);
	}

	private static boolean run(Recorder record, boolean trouble) throws Exception {
		try (Mesh mesh = new Mesh(record, 1)) {
			for (String zone : List.of("a", "b", "c")) {
				mesh.addControl(zone);
			}
			for (String zone : List.of("a", "b", "c")) {
				mesh.addNode(zone, "catalogue");
			}
			mesh.startAll();
			List<Worker> workers = new ArrayList<>();
			for (Mesh.Machine machine : mesh.nodes) {
				workers.add(new Worker(record, machine, "i-" + machine.name(), "v1", Mesh.HEARTBEAT_MILLIS));
			}
			mesh.replace(0, Configuration.of(1, List.of("catalogue"),
					List.of(new Configuration.Route("order", "/order/", false, 3_000, "catalogue"))));
			mesh.awaitReady(mesh.nodes, 20_000);
			Mesh.sleep(5_000);
			return new LateStop(record, mesh).play(workers, trouble);
		}
	}

	private boolean play(List<Worker> workers, boolean trouble) throws Exception {
		Mesh.Machine entry = this.mesh.nodes.getFirst();
		Thread.ofVirtual().start(() -> {
			while (this.sending.get()) {
				Thread.ofVirtual().start(() -> send(entry));
				Mesh.sleep(SEND_INTERVAL_MILLIS);
			}
		});
		Mesh.sleep(3_000);
		double stopSeconds = this.record.seconds();
		if (trouble) {
			this.mesh.terminate(entry);
		}
		Mesh.sleep(6_500);
		this.record.line("the process %s", this.mesh.isRunning(entry) ? "still runs" : "has ended");
		this.sending.set(false);
		Mesh.sleep(3_200);
		this.mesh.recordLog(entry, "Shutting down|Stopped|Stopping|Draining|timed out");
		return judge(workers, stopSeconds);
	}

	private void send(Mesh.Machine entry) {
		String id = "order-" + this.requestNumber.incrementAndGet();
		double sentSeconds = this.record.seconds();
		String outcome;
		try {
			outcome = String.valueOf(Http.exchange(entry.outbound(), "POST", "/order/millis/" + WORK_MILLIS,
					Configuration.HOST, Map.of("X-Request-Id", id, "X-Deadline-Milliseconds", "" + DEADLINE_MILLIS),
					"order".getBytes(StandardCharsets.UTF_8), DEADLINE_MILLIS + 100)
				.status());
		}
		catch (IOException ex) {
			outcome = String.valueOf(ex.getMessage());
		}
		this.sent.add(new Sent(id, sentSeconds, this.record.seconds(), outcome));
	}

	private boolean judge(List<Worker> workers, double stopSeconds) {
		int lost = 0;
		int excused = 0;
		for (Sent request : this.sent) {
			boolean passedOn = workers.stream()
				.flatMap((worker) -> worker.runs.stream())
				.anyMatch((run) -> run.requestId().equals(request.id()));
			boolean answered = request.outcome().matches("[0-9]+");
			boolean deadline = request.endSeconds() - request.sentSeconds() >= DEADLINE_MILLIS / 1_000.0;
			if (!passedOn || answered || deadline) {
				continue;
			}
			double sentAfter = request.sentSeconds() - stopSeconds;
			double endAfter = request.endSeconds() - stopSeconds;
			boolean counts = !(endAfter >= LAST_SIXTH_SECONDS && sentAfter <= EXCUSED_SENDING_SECONDS);
			lost += counts ? 1 : 0;
			excused += counts ? 0 : 1;
			this.record.line("%s was sent %.2f s after SIGTERM and passed on to a worker; after %.2f s: %s%s", request.id(),
					sentAfter, endAfter, request.outcome(), counts ? "" : " (excused)");
		}
		this.record.line("%d requests; %d cut without an answer, and %d that are excused", this.sent.size(), lost,
				excused);
		return lost == 0;
	}

	private record Sent(String id, double sentSeconds, double endSeconds, String outcome) {

	}

}
