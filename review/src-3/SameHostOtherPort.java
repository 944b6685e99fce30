import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;

/**
 * Case 13. The operator adds a route whose host has the name of an earlier route's host and another port. The requests of
 * the earlier route must go on to their own service.
 */
final class SameHostOtherPort implements Run.Case {

	private static final String ORDERS_HOST = "desk.example:8443";

	private static final String BILLS_HOST = "desk.example:8080";

	/** configuration_apply_ms of the site, and a little. */
	private static final long APPLY_MILLIS = 2_500;

	private static final int REQUESTS = 60;

	private static final long PAUSE_MILLIS = 30;

	private final Map<String, String> runs = new ConcurrentSkipListMap<>();

	@Override
	public boolean play(Path repository, boolean trouble, Record record) throws Exception {
		List<Worker> workers = new ArrayList<>();
		try (Deployment deployment = new Deployment(repository, 3, 1)) {
			deployment.endWithProcess();
			Map<String, String> services = new LinkedHashMap<>();
			services.put("sidecar-1", "front");
			services.put("sidecar-2", "orders");
			services.put("sidecar-3", "bills");
			services.keySet().forEach(deployment::addNode);
			for (int core = 0; core < 3; core++) {
				deployment.startCore(core, true);
			}
			for (Map.Entry<String, String> node : services.entrySet()) {
				workers.add(new Worker(deployment.address(node.getKey()), node.getValue(), "i-" + node.getKey(),
						(exchange) -> {
							record.write("%s runs %s", node.getValue(), exchange.requestId());
							this.runs.put(exchange.requestId(), node.getValue());
							exchange.answer(200, "OK", "done by " + node.getValue());
						}));
				deployment.startNode(node.getKey(), node.getValue());
			}
			Map<String, String> routes = new TreeMap<>();
			routes.put("r-orders",
					Deployment.route(ORDERS_HOST, "/desk/", "non_idempotent", 1_500, 800, "orders"));
			replace(deployment, 2, 0, routes, record);
			for (String node : services.keySet()) {
				deployment.awaitReady(node);
			}
			Thread.sleep(3_000);
			send(deployment, ORDERS_HOST, "before", record);
			if (trouble) {
				routes.put("r-bills", Deployment.route(BILLS_HOST, "/desk/", "non_idempotent", 1_500, 800, "bills"));
				replace(deployment, 4, 2, routes, record);
			}
			Thread.sleep(APPLY_MILLIS);
			send(deployment, ORDERS_HOST, "after", record);
			return judge(record);
		}
		finally {
			for (Worker worker : workers) {
				worker.close();
			}
		}
	}

	private static void replace(Deployment deployment, int version, int base, Map<String, String> routes,
			Record record) throws InterruptedException {
		String body = Deployment.configuration(version, routes, "front", "orders", "bills");
		record.write("the operator sends %s", body);
		record.write("answered %d",
				deployment.order("POST", "/lavenderroad/Configuration.Replace", "r" + base, body).status());
	}

	private static void send(Deployment deployment, String host, String name, Record record)
			throws InterruptedException {
		for (int number = 1; number <= REQUESTS; number++) {
			String id = name + "-" + number;
			Http.Answer answer = Http.once(deployment.address("sidecar-1"), Deployment.OUTBOUND_PORT, "POST",
					"/desk/" + id, Map.of("Host", host, "X-Request-Id", id, "X-Deadline-Milliseconds", "1500"),
					"one drum".getBytes(StandardCharsets.UTF_8), 5_000);
			record.write("the client gets %d for %s sent to host %s: %s", answer.status(), id, host,
					answer.text().strip());
			Thread.sleep(PAUSE_MILLIS);
		}
	}

	// All requests have the host of the route to the service of orders.
	private boolean judge(Record record) {
		long wrong = this.runs.values().stream().filter((service) -> !service.equals("orders")).count();
		record.write("%d requests for host %s have run, %d of them by another service than orders", this.runs.size(),
				ORDERS_HOST, wrong);
		return wrong > 0;
	}

}
