import java.io.IOException;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * On each of several machines one client uploads a large body at the same time, all to
 * one service. Other clients use the machine next to the worker of that service.
 */
public final class LargeUploads {

	private static final int MACHINES = Integer.getInteger("machines", 12);

	private static final int BODY_BYTES = Integer.getInteger("kilobytes", 7_500) * 1024;

	/** Body with TROUBLE=0: the mean of the uploads of the site. */
	private static final int USUAL_BODY_BYTES = 60_000;

	private static final int OTHER_CLIENTS = 16;

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
		String[] nodes = new String[MACHINES + 1];
		Arrays.fill(nodes, "shop");
		nodes[MACHINES] = "intake";
		kit.start(3, nodes);
		for (int index = 1; index <= MACHINES + 1; index++) {
			kit.new Worker(kit.node(index), 12, (worker, request, output) -> {
				Thread.sleep(worker.node.service.equals("intake") ? 500 : 1_200);
				worker.answer(output, request, 200, "done".getBytes());
			});
		}
		Map<String, Object> routes = new LinkedHashMap<>();
		routes.put("r-upload", Kit.route("/upload/", "upload", 8_000, "intake"));
		routes.put("r-order", Kit.route("/order/", "non_idempotent", 3_000, "shop"));
		Map<String, Object> services = new LinkedHashMap<>();
		services.put("shop", Kit.service());
		services.put("intake", Kit.service());
		Kit.Answer configured = kit.configure(3, 1, 0, Kit.configuration(1, routes, services));
		if (configured == null || configured.status != 200 || !kit.awaitReady(30_000)) {
			kit.log("the mesh does not serve");
			return 2;
		}
		Kit.pause(5_000);

		// Clients on the machine next to the worker of intake; their orders go to shop.
		Kit.Daemon loaded = kit.node(MACHINES + 1);
		AtomicBoolean sending = new AtomicBoolean(true);
		Set<String> cut = ConcurrentHashMap.newKeySet();
		Map<String, AtomicInteger> outcomes = new ConcurrentSkipListMap<>();
		CountDownLatch others = new CountDownLatch(OTHER_CLIENTS);
		for (int client = 0; client < OTHER_CLIENTS; client++) {
			Thread.ofVirtual().start(() -> {
				sendOrders(kit, loaded, sending, cut, outcomes);
				others.countDown();
			});
		}
		Kit.pause(2_000);

		CountDownLatch uploads = new CountDownLatch(MACHINES);
		for (int machine = 1; machine <= MACHINES; machine++) {
			String address = kit.nodeAddress(machine);
			Thread.ofVirtual().start(() -> {
				upload(kit, address, outcomes);
				uploads.countDown();
			});
		}
		uploads.await();
		Kit.pause(2_000);
		sending.set(false);
		others.await();

		long lost = cut.stream().filter((id) -> kit.runs.stream().anyMatch((run) -> run.id().equals(id))).count();
		List<String> ended = kit.daemons.stream().filter(Kit.Daemon::endedByItself).map((daemon) -> daemon.name).toList();
		kit.log("outcomes: " + outcomes);
		kit.log("processes that ended by themselves: " + ended);
		kit.log("LOST: " + lost + " orders of other clients on " + loaded.name
				+ " had been passed on from kept connections to sound workers, which ran them, and their connections"
				+ " were closed without an answer");
		System.out.println("ended by themselves: " + ended + ", orders lost: " + lost + ", outcomes " + outcomes);
		return (lost > 3) ? 1 : 0;
	}

	private static void sendOrders(Kit kit, Kit.Daemon node, AtomicBoolean sending, Set<String> cut,
			Map<String, AtomicInteger> outcomes) {
		while (sending.get()) {
			try (Kit.Client client = new Kit.Client(kit, node.address, Kit.OUTBOUND)) {
				while (sending.get()) {
					String id = kit.newId();
					try {
						Kit.Answer answer = client.call("POST", "/order/1", List.of("Host", "shop.example",
								"X-Request-Id", id, "X-Deadline-Milliseconds", "3000"), "an order".getBytes(), 4_000);
						count(outcomes, "order " + ((answer == null) ? "no answer" : String.valueOf(answer.status)));
						if (answer == null || answer.field("Connection").equalsIgnoreCase("close")) {
							break;
						}
					}
					catch (IOException ex) {
						kit.log("client at " + node.name + ": order " + id + ": the connection was closed without an answer");
						cut.add(id);
						count(outcomes, "order cut");
						break;
					}
				}
			}
			catch (IOException ex) {
				count(outcomes, "no connection");
				Kit.pause(200);
			}
		}
	}

	private static void upload(Kit kit, String address, Map<String, AtomicInteger> outcomes) {
		String id = kit.newId();
		byte[] body = new byte[kit.trouble ? BODY_BYTES : USUAL_BODY_BYTES];
		String outcome;
		try (Kit.Client client = new Kit.Client(kit, address, Kit.OUTBOUND)) {
			kit.log("client at " + address + " uploads " + id + ", " + body.length + " bytes");
			Kit.Answer answer = client.call("POST", "/upload/x", List.of("Host", "shop.example", "X-Request-Id", id,
					"X-Deadline-Milliseconds", "8000"), body, 9_000);
			outcome = (answer == null) ? "no answer" : String.valueOf(answer.status);
		}
		catch (IOException ex) {
			outcome = "cut";
		}
		kit.log("client: upload " + id + " gets " + outcome);
		count(outcomes, "upload " + outcome);
	}

	private static void count(Map<String, AtomicInteger> outcomes, String outcome) {
		outcomes.computeIfAbsent(outcome, (key) -> new AtomicInteger()).incrementAndGet();
	}

}
