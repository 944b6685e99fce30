import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Cases 11 and 12. One of two workers repeats late, and cut off, a refusal that it gave on the same connection: the bytes
 * stand in front of the answer to the next order. Orders are not idempotent; none may run twice, and none that has run may
 * be answered with a refusal.
 */
final class CutRefusal implements Run.Case {

	private static final String HOST = "desk.example";

	private static final int CLIENTS = 8;

	private static final long FULL_MILLIS = 250;

	private static final long TROUBLE_START_MILLIS = 2_000;

	/** 5 s, as in the kinds of the bench. */
	private static final long TROUBLE_MILLIS = 5_000;

	private static final long TRAFFIC_MILLIS = 9_000;

	private static final long PAUSE_MILLIS = 30;

	/** 2 of 100 answers of the faulty worker. */
	private static final int ANSWERS_FOR_EACH_COPY = 50;

	/** Text of the refusal in front of which the copy ends. */
	private final String cut;

	/** Whether orders that ran twice break the rule of the case, or orders that ran and were refused. */
	private final boolean judgesRuns;

	private final Map<String, Integer> answers = new ConcurrentHashMap<>();

	private final Map<String, List<String>> runs = new ConcurrentSkipListMap<>();

	private final Map<String, String> refusals = new ConcurrentHashMap<>();

	private final AtomicInteger answersInTrouble = new AtomicInteger();

	private final AtomicInteger copies = new AtomicInteger();

	private final AtomicReference<String> faulty = new AtomicReference<>();

	private volatile long startMillis = Long.MAX_VALUE / 2;

	private CutRefusal(String cut, boolean judgesRuns) {
		this.cut = cut;
		this.judgesRuns = judgesRuns;
	}

	/** Case 11: the copy ends in the value of its third line. */
	static CutRefusal inField() {
		return new CutRefusal(",12\r\nX-Request-Id", true);
	}

	/** Case 12: the copy ends in its first line. */
	static CutRefusal inFirstLine() {
		return new CutRefusal("ailable\r\n", false);
	}

	@Override
	public boolean play(Path repository, boolean trouble, Record record) throws Exception {
		List<Worker> workers = new ArrayList<>();
		try (Deployment deployment = new Deployment(repository, 3, 1)) {
			deployment.endWithProcess();
			Map<String, String> services = new LinkedHashMap<>();
			services.put("sidecar-1", "front");
			services.put("sidecar-2", "desk");
			services.put("sidecar-3", "desk");
			services.keySet().forEach(deployment::addNode);
			for (int core = 0; core < 3; core++) {
				deployment.startCore(core, true);
			}
			for (Map.Entry<String, String> node : services.entrySet()) {
				workers.add(new Worker(deployment.address(node.getKey()), node.getValue(), "i-" + node.getKey(),
						(exchange) -> handle(exchange, trouble, record)));
				deployment.startNode(node.getKey(), node.getValue());
			}
			Map<String, String> routes = Map.of("orders",
					Deployment.route(HOST, "/orders/", "non_idempotent", 1_500, 800, "desk"));
			record.write("the operator sends r1, answered %d",
					deployment.order("POST", "/lavenderroad/Configuration.Replace", "0",
							Deployment.configuration(1, routes, "front", "desk"))
						.status());
			for (String node : services.keySet()) {
				deployment.awaitReady(node);
			}
			Thread.sleep(3_000);
			send(deployment.address("sidecar-1"), record);
			return judge(record);
		}
		finally {
			for (Worker worker : workers) {
				worker.close();
			}
		}
	}

	private void handle(Worker.Exchange exchange, boolean trouble, Record record)
			throws IOException, InterruptedException {
		long sinceStart = System.currentTimeMillis() - this.startMillis;
		String connection = exchange.worker() + "/" + exchange.connection();
		if (sinceStart < FULL_MILLIS) {
			// The worker is full and has not run the request.
			String refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: full\r\nX-Server-Load: 12,48,12\r\n"
					+ "X-Request-Id: " + exchange.requestId() + "\r\nContent-Length: 0\r\n\r\n";
			this.refusals.put(connection, refusal);
			record.write("%s refuses %s on connection %d, not run", exchange.worker(), exchange.requestId(),
					exchange.connection());
			exchange.send(refusal);
			return;
		}
		boolean inTrouble = sinceStart >= TROUBLE_START_MILLIS && sinceStart < TROUBLE_START_MILLIS + TROUBLE_MILLIS;
		// One of the two workers is faulty: the first that gets an order in the time of the trouble.
		if (trouble && inTrouble && this.faulty.accumulateAndGet(exchange.worker(),
				(drawn, worker) -> (drawn != null) ? drawn : worker).equals(exchange.worker())) {
			int answers = this.answersInTrouble.incrementAndGet();
			String refusal = this.refusals.get(connection);
			if (refusal != null && this.copies.get() < answers / ANSWERS_FOR_EACH_COPY) {
				this.copies.incrementAndGet();
				String copy = refusal.substring(0, refusal.indexOf(this.cut));
				record.write("%s sends %d bytes of an earlier refusal once more on connection %d", exchange.worker(),
						copy.length(), exchange.connection());
				exchange.send(copy);
				Thread.sleep(2);
			}
		}
		record.write("%s runs %s", exchange.worker(), exchange.requestId());
		this.runs.computeIfAbsent(exchange.requestId(), (id) -> new ArrayList<>()).add(exchange.worker());
		Thread.sleep(10);
		exchange.answer(200, "OK", "booked " + exchange.requestId());
	}

	private void send(String address, Record record) throws InterruptedException {
		this.startMillis = System.currentTimeMillis();
		long end = this.startMillis + TRAFFIC_MILLIS;
		AtomicInteger numbers = new AtomicInteger();
		List<Thread> clients = new ArrayList<>();
		for (int client = 0; client < CLIENTS; client++) {
			clients.add(Thread.ofVirtual().start(() -> {
				while (System.currentTimeMillis() < end) {
					String id = "order-" + numbers.incrementAndGet();
					Http.Answer answer = Http.once(address, Deployment.OUTBOUND_PORT, "POST", "/orders/" + id,
							Map.of("Host", HOST, "X-Request-Id", id, "X-Deadline-Milliseconds", "1500"),
							"one drum".getBytes(StandardCharsets.UTF_8), 5_000);
					this.answers.put(id, answer.status());
					record.write("the client gets %d for %s, signature %s, body %s", answer.status(), id,
							answer.field("x-response-signature"), answer.text().strip());
					pause();
				}
			}));
		}
		for (Thread client : clients) {
			client.join();
		}
		Thread.sleep(500);
	}

	private boolean judge(Record record) {
		record.write("the faulty worker gave %d answers in 5 s and put %d cut copies in front of them",
				this.answersInTrouble.get(), this.copies.get());
		int twice = 0;
		int refused = 0;
		for (Map.Entry<String, List<String>> run : this.runs.entrySet()) {
			int status = this.answers.getOrDefault(run.getKey(), 0);
			if (run.getValue().size() > 1) {
				twice++;
				record.write("TWICE: %s has run at %s", run.getKey(), String.join(" and ", run.getValue()));
			}
			if (status == 503) {
				refused++;
				record.write("REFUSED: %s was answered 503 and has run at %s", run.getKey(),
						String.join(" and ", run.getValue()));
			}
		}
		record.write("%d orders have run, %d of them twice; %d that have run were answered 503", this.runs.size(), twice,
				refused);
		return (this.judgesRuns ? twice : refused) > 0;
	}

	private static void pause() {
		try {
			Thread.sleep(PAUSE_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
