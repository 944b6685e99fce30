package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send a page of idempotent requests on one connection before the first is answered, and leave before their
 * deadline. Other clients of the node send orders on connections that they keep.
 */
final class LeavingClients {

	private static final int DEPTH = 40;

	private static final int FIRST_WORK_MILLIS = 400;

	/**
	 * Largest answer of the kind of request that is pipelined on the site.
	 */
	private static final int ANSWER_BYTES = 9_000;

	private static final int LEAVE_AFTER_MILLIS = 200;

	private static final int INTERVAL_MILLIS = Integer
		.parseInt(System.getenv().getOrDefault("INTERVAL_MILLIS", "70"));

	private static final int PLAY_MILLIS = 80_000;

	private static final int ORDER_CLIENTS = 24;

	private static final int ORDER_WORK_MILLIS = 1_500;

	private static final int ORDER_DEADLINE_MILLIS = 4_500;

	private static final String TIMED_OUT = "the deadline passed";

	private static final int ALLOWED_LOSSES = 3;

	private final Recorder record;

	private final Mesh mesh;

	private final AtomicInteger requestNumber = new AtomicInteger();

	private final AtomicInteger left = new AtomicInteger();

	private final AtomicBoolean sending = new AtomicBoolean(true);

	private final Map<String, String> outcomes = new ConcurrentHashMap<>();

	private LeavingClients(Recorder record, Mesh mesh) {
		this.record = record;
		this.mesh = mesh;
	}

	public static void main(String[] arguments) throws Exception {
		Case.main(arguments[0], LeavingClients::run);
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
					List.of(new Configuration.Route("read", "/read/", true, 2_000, "catalogue"),
							new Configuration.Route("order", "/order/", false, 5_000, "catalogue"))));
			mesh.awaitReady(mesh.nodes, 20_000);
			Mesh.sleep(4_000);
			return new LeavingClients(record, mesh).play(workers, trouble);
		}
	}

	private boolean play(List<Worker> workers, boolean trouble) throws Exception {
		Mesh.Machine entry = this.mesh.nodes.getFirst();
		for (int client = 0; client < ORDER_CLIENTS; client++) {
			Thread.ofVirtual().start(() -> sendOrders(entry));
		}
		double endSeconds = this.record.seconds() + PLAY_MILLIS / 1_000.0;
		while (this.record.seconds() < endSeconds && this.mesh.isRunning(entry)) {
			Thread.ofVirtual().start(() -> sendPage(entry, trouble));
			Mesh.sleep(INTERVAL_MILLIS);
		}
		boolean running = this.mesh.isRunning(entry);
		this.record.line("%d clients have sent %d requests each%s; the process of %s %s", this.left.get(), DEPTH,
				trouble ? " and left" : "", entry.name(), running ? "runs" : "has ended by itself");
		this.sending.set(false);
		Mesh.sleep(ORDER_DEADLINE_MILLIS);
		this.mesh.recordLog(entry, "OutOfMemory|Terminating|Closed a new caller");
		int lost = 0;
		for (Worker worker : workers) {
			for (Worker.Run run : worker.runs) {
				String outcome = this.outcomes.get(run.requestId());
				if (outcome != null && !outcome.matches("[0-9]+") && !outcome.equals(TIMED_OUT)) {
					lost++;
					this.record.line("%s ran at worker %s from %.3f, and its client got: %s", run.requestId(), run.worker(),
							run.startSeconds(), outcome);
				}
			}
		}
		this.record.line("%d orders; %d that a worker ran have no answer", this.outcomes.size(), lost);
		return lost <= ALLOWED_LOSSES;
	}

	private void sendOrders(Mesh.Machine entry) {
		while (this.sending.get()) {
			String id = "";
			try (Socket socket = new Socket()) {
				socket.connect(entry.outbound(), 1_000);
				socket.setSoTimeout(ORDER_DEADLINE_MILLIS + 200);
				while (this.sending.get()) {
					id = "order-" + this.requestNumber.incrementAndGet();
					byte[] body = "order".getBytes(StandardCharsets.UTF_8);
					Http.write(socket.getOutputStream(), Http.request("POST", "/order/millis/" + ORDER_WORK_MILLIS,
							Configuration.HOST,
							Map.of("X-Request-Id", id, "X-Deadline-Milliseconds", "" + ORDER_DEADLINE_MILLIS), body.length),
							body);
					Http.Message answer = Http.read(socket.getInputStream());
					this.outcomes.put(id, (answer != null) ? String.valueOf(answer.status())
							: "the connection was closed without an answer");
					if (answer == null || answer.status() != 200 || answer.header("Connection").equals("close")) {
						break;
					}
				}
			}
			catch (SocketTimeoutException ex) {
				this.outcomes.put(id, TIMED_OUT);
			}
			catch (IOException ex) {
				this.outcomes.put(id, String.valueOf(ex.getMessage()));
			}
			Mesh.sleep(100);
		}
	}

	private void sendPage(Mesh.Machine entry, boolean leave) {
		try (Socket socket = new Socket()) {
			socket.connect(entry.outbound(), 1_000);
			socket.setSoTimeout(2_100);
			ByteArrayOutputStream page = new ByteArrayOutputStream();
			for (int index = 0; index < DEPTH; index++) {
				int work = (index == 0) ? FIRST_WORK_MILLIS : 2;
				page.write(Http.request("GET", "/read/bytes/" + ANSWER_BYTES + "/millis/" + work, Configuration.HOST,
						Map.of("X-Request-Id", "read-" + this.requestNumber.incrementAndGet(), "X-Deadline-Milliseconds",
								"1900"),
						0)
					.getBytes(StandardCharsets.ISO_8859_1));
			}
			socket.getOutputStream().write(page.toByteArray());
			if (leave) {
				Mesh.sleep(LEAVE_AFTER_MILLIS);
			}
			else {
				for (int index = 0; index < DEPTH && Http.read(socket.getInputStream()) != null; index++) {
					// Each answer is read.
				}
			}
			this.left.incrementAndGet();
		}
		catch (IOException ex) {
			// The node refused or closed the connection.
		}
	}

}
