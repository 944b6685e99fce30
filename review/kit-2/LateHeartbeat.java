import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A worker deregisters and is acknowledged. Its node is killed and started again by the
 * platform. A heartbeat that the worker sent before arrives late, at the new process.
 */
public final class LateHeartbeat {

	/** How late the heartbeat arrives. PROTOCOL.md: "A heartbeat may arrive seconds late." */
	private static final int LATE_MILLIS = 2_800;

	private static final int CONTACT_WINDOW_MILLIS = 3_000;

	/** How long the worker serves after its deregistration: "at times many seconds". */
	private static final int SERVES_MILLIS = 8_000;

	public static void main(String[] arguments) throws Exception {
		int code = 2;
		try (Kit kit = new Kit(arguments[0])) {
			code = play(kit);
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(code);
	}

	private static int play(Kit kit) throws Exception {
		kit.start(3, "shop", "intake", "intake");
		for (int index = 1; index <= 3; index++) {
			kit.new Worker(kit.node(index), 12, (worker, request, output) -> {
				Thread.sleep(400);
				worker.answer(output, request, 200, "done".getBytes());
			});
		}
		Map<String, Object> routes = new LinkedHashMap<>();
		routes.put("r-order", Kit.route("/order/", "non_idempotent", 2_000, "intake"));
		Map<String, Object> services = new LinkedHashMap<>();
		services.put("shop", Kit.service());
		services.put("intake", Kit.service());
		Kit.Answer configured = kit.configure(3, 1, 0, Kit.configuration(1, routes, services));
		if (configured == null || configured.status != 200 || !kit.awaitReady(20_000)) {
			kit.log("the mesh does not serve");
			return 2;
		}
		Kit.pause(4_000);
		AtomicBoolean sending = new AtomicBoolean(true);
		Map<String, AtomicInteger> outcomes = new java.util.concurrent.ConcurrentSkipListMap<>();
		Thread clients = Thread.ofVirtual().start(() -> sendOrders(kit, sending, outcomes));
		Kit.pause(2_000);

		Kit.Worker leaving = kit.workers.get(1);
		leaving.announcing = false;
		Kit.pause(300);
		String late = leaving.heartbeat();
		double sent = kit.now();
		kit.log("worker " + leaving.instanceId + " sends a heartbeat that arrives " + LATE_MILLIS + " ms late: " + late);
		Kit.pause(100);
		if (!leaving.deregister()) {
			kit.log("the deregistration was not acknowledged");
			return 2;
		}
		double acknowledged = kit.now();
		kit.log("worker " + leaving.instanceId + " has deregistered, acknowledged by " + leaving.node.name);
		Kit.pause(150);
		double started = 0;
		if (kit.trouble) {
			leaving.node.kill();
			Kit.pause(300);
			leaving.node.start(false);
			started = kit.now();
		}
		Kit.pause((long) (1_000 * (sent - kit.now())) + LATE_MILLIS);
		kit.log("the late heartbeat of " + leaving.instanceId + " arrives: "
				+ (leaving.say(late) ? "acknowledged" : "not acknowledged"));
		Kit.pause((long) (1_000 * (acknowledged - kit.now())) + SERVES_MILLIS);
		leaving.exit();
		kit.log("worker " + leaving.instanceId + " has exited");
		Kit.pause(2_500);
		sending.set(false);
		clients.join();

		double bound = Math.max(acknowledged + Kit.DRAIN_MILLIS / 1e3, started + CONTACT_WINDOW_MILLIS / 1e3);
		List<Kit.Run> tooLate = kit.runs.stream()
			.filter((run) -> run.worker().equals(leaving.instanceId) && run.seconds() > bound)
			.toList();
		kit.log("outcomes of the clients: " + outcomes);
		kit.log(String.format(
				"DRAIN: %d requests reached %s later than drain_ms after the acknowledgement at %.3f s and later than "
						+ "contact_window_ms after the start of its node at %.3f s",
				tooLate.size(), leaving.instanceId, acknowledged, started));
		System.out.println(tooLate.size() + " requests reached the worker too late; " + outcomes);
		return tooLate.isEmpty() ? 0 : 1;
	}

	private static void sendOrders(Kit kit, AtomicBoolean sending, Map<String, AtomicInteger> outcomes) {
		while (sending.get()) {
			Thread.ofVirtual().start(() -> {
				String id = kit.newId();
				String outcome;
				try (Kit.Client client = new Kit.Client(kit, kit.nodeAddress(1), Kit.OUTBOUND)) {
					Kit.Answer answer = client.call("POST", "/order/1", List.of("Host", "shop.example", "X-Request-Id", id,
							"X-Deadline-Milliseconds", "2000"), "an order".getBytes(), 2_500);
					outcome = (answer == null) ? "no answer" : String.valueOf(answer.status);
				}
				catch (IOException ex) {
					outcome = "cut";
				}
				kit.log("client: order " + id + " gets " + outcome);
				outcomes.computeIfAbsent(outcome, (key) -> new AtomicInteger()).incrementAndGet();
			});
			Kit.pause(25);
		}
		Kit.pause(2_500);
	}

}
