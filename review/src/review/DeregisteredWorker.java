package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A node is stopped and started again on its own. The worker beside it deregisters at the new process, which
 * acknowledges it. A heartbeat that the worker sent before arrives two seconds late.
 */
final class DeregisteredWorker {

	private static final double DRAIN_SECONDS = 2.0;

	private static final double CONTACT_WINDOW_SECONDS = 3.0;

	private static final int LATE_MILLIS = 2_000;

	/**
	 * Time from the acknowledgement to the exit of the worker: {@code drain_ms} and a little longer, at times many
	 * seconds.
	 */
	private static final int EXIT_AFTER_MILLIS = 6_000;

	private static final int SEND_INTERVAL_MILLIS = 40;

	/**
	 * With {@code VARIANT=overtaken} no node is restarted: three heartbeats are late, and the next one and the
	 * deregistration overtake them.
	 */
	private static final boolean OVERTAKEN = "overtaken".equals(System.getenv("VARIANT"));

	private static final int OVERTAKEN_HEARTBEATS = 3;

	private final Recorder record;

	private final Mesh mesh;

	private final AtomicInteger requestNumber = new AtomicInteger();

	private final AtomicBoolean sending = new AtomicBoolean(true);

	private final Map<String, String> outcomes = new ConcurrentHashMap<>();

	private DeregisteredWorker(Recorder record, Mesh mesh) {
		this.record = record;
		this.mesh = mesh;
	}

	public static void main(String[] arguments) throws Exception {
		Case.main(arguments[0], DeregisteredWorker::run);
	}

	private static boolean run(Recorder record, boolean trouble) throws Exception {
		try (Mesh mesh = new Mesh(record, 1)) {
			for (String zone : List.of("a", "b", "c")) {
				mesh.addControl(zone);
			}
			mesh.addNode("a", "catalogue");
			mesh.addNode("b", "counter");
			mesh.addNode("c", "counter");
			mesh.startAll();
			List<Worker> workers = new ArrayList<>();
			for (Mesh.Machine machine : mesh.nodes) {
				workers.add(new Worker(record, machine, "i-" + machine.name(), "v1", Mesh.HEARTBEAT_MILLIS));
			}
			mesh.replace(0, Configuration.of(1, List.of("catalogue", "counter"),
					List.of(new Configuration.Route("order", "/order/", false, 2_000, "counter"))));
			mesh.awaitReady(mesh.nodes, 20_000);
			Mesh.sleep(5_000);
			return new DeregisteredWorker(record, mesh).play(workers.getLast(), mesh.nodes.getLast(), trouble);
		}
	}

	private boolean play(Worker leaving, Mesh.Machine machine, boolean trouble) throws Exception {
		Thread.ofVirtual().start(() -> sendOrders(this.mesh.nodes.getFirst()));
		Mesh.sleep(1_000);
		if (OVERTAKEN) {
			return playOvertaken(leaving, machine, trouble);
		}
		double startedSeconds = trouble ? restart(machine, leaving) : 0;
		leaving.stopAnnouncing();
		long number = leaving.sequence.incrementAndGet();
		long sentNanos = System.nanoTime();
		this.record.line("worker %s sends heartbeat %d, state ready%s", leaving.id, number,
				trouble ? ", which is delayed" : "");
		if (!trouble) {
			this.record.line("heartbeat %d is answered with %d", number,
					leaving.send("Heartbeat", leaving.heartbeat("ready", number)));
		}
		double acknowledgedSeconds = deregister(leaving);
		if (trouble) {
			Mesh.sleep(LATE_MILLIS - (System.nanoTime() - sentNanos) / 1_000_000);
			this.record.line("heartbeat %d arrives %.1f s after it was sent and is answered with %d", number,
					(System.nanoTime() - sentNanos) / 1e9,
					leaving.send("Heartbeat", leaving.heartbeat("ready", number)));
		}
		return leave(leaving, machine, acknowledgedSeconds, startedSeconds);
	}

	private boolean playOvertaken(Worker leaving, Mesh.Machine machine, boolean trouble) throws Exception {
		leaving.stopAnnouncing();
		long first = leaving.sequence.addAndGet(OVERTAKEN_HEARTBEATS + 1) - OVERTAKEN_HEARTBEATS;
		if (!trouble) {
			sendHeartbeats(leaving, first);
		}
		leaving.send("Heartbeat", leaving.heartbeat("ready", first + OVERTAKEN_HEARTBEATS));
		double acknowledgedSeconds = deregister(leaving);
		if (trouble) {
			sendHeartbeats(leaving, first);
		}
		return leave(leaving, machine, acknowledgedSeconds, 0);
	}

	// One heartbeat in each interval, as the worker sends them.
	private void sendHeartbeats(Worker worker, long first) {
		for (long number = first; number < first + OVERTAKEN_HEARTBEATS; number++) {
			Mesh.sleep(Mesh.HEARTBEAT_MILLIS);
			this.record.line("heartbeat %d arrives and is answered with %d", number,
					worker.send("Heartbeat", worker.heartbeat("ready", number)));
		}
	}

	private boolean leave(Worker leaving, Mesh.Machine machine, double acknowledgedSeconds, double startedSeconds)
			throws Exception {
		Mesh.sleep(EXIT_AFTER_MILLIS - Math.round((this.record.seconds() - acknowledgedSeconds) * 1_000));
		this.record.line("worker %s exits", leaving.id);
		leaving.close();
		Mesh.sleep(500);
		this.sending.set(false);
		Mesh.sleep(2_200);
		this.mesh.recordLog(machine, "Backend server|deregistration|Ignored announcement|Discarded");
		return judge(leaving, acknowledgedSeconds, startedSeconds);
	}

	private double restart(Mesh.Machine machine, Worker leaving) throws Exception {
		this.mesh.terminate(machine);
		if (!this.mesh.awaitEnd(machine, Mesh.GRACE_SECONDS * 1_000)) {
			this.mesh.kill(machine);
		}
		leaving.stopAnnouncing();
		this.record.line("the node has ended and is started again");
		this.mesh.start(machine, false);
		return this.record.seconds();
	}

	private double deregister(Worker worker) {
		int status = 0;
		while (status != 200) {
			status = worker.send("Deregister", "{\"born\":" + worker.born + "}");
			Mesh.sleep((status == 200) ? 0 : 50);
		}
		double seconds = this.record.seconds();
		this.record.line("Instances.Deregister of %s is acknowledged with 200", worker.id);
		return seconds;
	}

	private void sendOrders(Mesh.Machine entry) {
		while (this.sending.get()) {
			Thread.ofVirtual().start(() -> sendOrder(entry));
			Mesh.sleep(SEND_INTERVAL_MILLIS);
		}
	}

	private void sendOrder(Mesh.Machine entry) {
		String id = entry.name() + "-" + this.requestNumber.incrementAndGet();
		try {
			Http.Message answer = Http.exchange(entry.outbound(), "POST", "/order/millis/100", Configuration.HOST,
					Map.of("X-Request-Id", id, "X-Deadline-Milliseconds", "1900"),
					"order".getBytes(StandardCharsets.UTF_8), 2_100);
			this.outcomes.put(id, String.valueOf(answer.status()));
		}
		catch (IOException ex) {
			this.outcomes.put(id, String.valueOf(ex.getMessage()));
		}
	}

	private boolean judge(Worker leaving, double acknowledgedSeconds, double startedSeconds) {
		double from = Math.max(acknowledgedSeconds + DRAIN_SECONDS, startedSeconds + CONTACT_WINDOW_SECONDS) + 0.2;
		int late = 0;
		int unanswered = 0;
		for (Worker.Run run : leaving.runs) {
			if (run.startSeconds() > from) {
				late++;
				String outcome = this.outcomes.getOrDefault(run.requestId(), "no answer");
				if (!outcome.equals("200")) {
					unanswered++;
				}
				if (late <= 10 || !outcome.equals("200")) {
					this.record.line("%s reached worker %s at %.3f, %.1f s after the acknowledgement; client got %s",
							run.requestId(), run.worker(), run.startSeconds(), run.startSeconds() - acknowledgedSeconds,
							outcome);
				}
			}
		}
		this.record.line("%d orders in all; %d reached the worker that is gone later than drain_ms, %d of them got no 200",
				this.outcomes.size(), late, unanswered);
		return late == 0;
	}

}
