import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 14. Another writer leaves one entry with a sequence number that is too large; a second later the worker says that
 * it leaves, and its node acknowledges that. No order may reach it later than drain_ms after the acknowledgement.
 */
final class OddEntry implements Run.Case {

	private static final String HOST = "desk.example";

	private static final int CLIENTS = 8;

	private static final long PAUSE_MILLIS = 40;

	private static final long TRAFFIC_MILLIS = 9_000;

	private static final long ODD_ENTRY_MILLIS = 1_500;

	private static final long LEAVE_MILLIS = 1_000;

	/** drain_ms of the site. */
	private static final long DRAIN_MILLIS = 2_000;

	/** The worker serves for drain_ms and a little longer. */
	private static final long SERVE_MILLIS = 3_000;

	private static final long ODD_SEQUENCE = 900_000;

	private final Map<String, Queue<Arrival>> arrivals = new ConcurrentHashMap<>();

	private final AtomicInteger failed = new AtomicInteger();

	@Override
	public boolean play(Path repository, boolean trouble, Record record) throws Exception {
		Map<String, Worker> workers = new LinkedHashMap<>();
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
				String id = "i-" + node.getKey();
				this.arrivals.put(id, new ConcurrentLinkedQueue<>());
				workers.put(id, new Worker(deployment.address(node.getKey()), node.getValue(), id,
						(exchange) -> run(exchange, record)));
				deployment.startNode(node.getKey(), node.getValue());
			}
			Map<String, String> routes = Map.of("orders",
					Deployment.route(HOST, "/orders/", "non_idempotent", 1_200, 800, "desk"));
			record.write("the operator sends r1, answered %d",
					deployment.order("POST", "/lavenderroad/Configuration.Replace", "0",
							Deployment.configuration(1, routes, "front", "desk"))
						.status());
			for (String node : services.keySet()) {
				deployment.awaitReady(node);
			}
			Thread.sleep(3_000);
			List<Thread> clients = startClients(deployment.address("sidecar-1"), record);
			boolean broken = leave(workers, trouble, record);
			for (Thread client : clients) {
				client.join();
			}
			record.write("%d orders got no 200", this.failed.get());
			return broken;
		}
		finally {
			for (Worker worker : workers.values()) {
				worker.close();
			}
		}
	}

	private boolean leave(Map<String, Worker> workers, boolean trouble, Record record)
			throws InterruptedException, IOException {
		Thread.sleep(ODD_ENTRY_MILLIS);
		String id = this.arrivals.entrySet()
			.stream()
			.max((first, second) -> Integer.compare(first.getValue().size(), second.getValue().size()))
			.orElseThrow()
			.getKey();
		Worker worker = workers.get(id);
		if (trouble) {
			record.write("another writer leaves an entry of %s with sequence_number %d, answered %d", id, ODD_SEQUENCE,
					worker.sendOddEntry(ODD_SEQUENCE));
		}
		Thread.sleep(LEAVE_MILLIS);
		worker.leave();
		int status = worker.announce("draining");
		while (status < 200 || status > 299) {
			record.write("%s says that it is draining, answered %d", id, status);
			Thread.sleep(200);
			status = worker.announce("draining");
		}
		long acknowledged = System.currentTimeMillis();
		record.write("%s says that it is draining, answered %d", id, status);
		Thread.sleep(SERVE_MILLIS);
		List<Arrival> late = this.arrivals.get(id)
			.stream()
			.filter((arrival) -> arrival.millis() > acknowledged + DRAIN_MILLIS)
			.toList();
		worker.close();
		record.write("%s has ended", id);
		late.forEach((arrival) -> record.write("DRAIN: %s reached %s %d ms after the acknowledgement",
				arrival.requestId(), id, arrival.millis() - acknowledged));
		record.write("%d orders reached %s later than %d ms after the acknowledgement", late.size(), id, DRAIN_MILLIS);
		return !late.isEmpty();
	}

	private void run(Worker.Exchange exchange, Record record) throws IOException, InterruptedException {
		this.arrivals.get(exchange.worker()).add(new Arrival(exchange.requestId(), System.currentTimeMillis()));
		record.write("%s runs %s", exchange.worker(), exchange.requestId());
		Thread.sleep(25);
		exchange.answer(200, "OK", "booked");
	}

	private List<Thread> startClients(String address, Record record) {
		long end = System.currentTimeMillis() + TRAFFIC_MILLIS;
		AtomicInteger numbers = new AtomicInteger();
		List<Thread> clients = new ArrayList<>();
		for (int client = 0; client < CLIENTS; client++) {
			clients.add(Thread.ofVirtual().start(() -> {
				while (System.currentTimeMillis() < end) {
					String id = "order-" + numbers.incrementAndGet();
					Http.Answer answer = Http.once(address, Deployment.OUTBOUND_PORT, "POST", "/orders/" + id,
							Map.of("Host", HOST, "X-Request-Id", id, "X-Deadline-Milliseconds", "1200"),
							"one drum".getBytes(StandardCharsets.UTF_8), 4_000);
					record.write("the client gets %d for %s", answer.status(), id);
					if (answer.status() != 200) {
						this.failed.incrementAndGet();
					}
					pause();
				}
			}));
		}
		return clients;
	}

	private static void pause() {
		try {
			Thread.sleep(PAUSE_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/** An order that began to run. */
	private record Arrival(String requestId, long millis) {

	}

}
