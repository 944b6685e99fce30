import java.io.IOException;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Several clients on one machine read large answers at the same time, from workers on
 * as many machines. Other clients use that machine as well.
 */
public final class LargeAnswers {

	private static final int MACHINES = Integer.getInteger("machines", 8);

	private static final int BODY_BYTES = Integer.getInteger("kilobytes", 4_000) * 1_000;

	/** Answer with TROUBLE=0: the largest of the site. */
	private static final int USUAL_BODY_BYTES = 30_000;

	private static final int CLIENTS = Integer.getInteger("clients", 72);

	private static final int OTHER_CLIENTS = 16;

	/** The clients ask for their first large answer at the same time. */
	private static final CountDownLatch START = new CountDownLatch(CLIENTS);

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
		String[] nodes = new String[MACHINES + 2];
		Arrays.fill(nodes, "files");
		nodes[1] = "shop";
		nodes[0] = "shop";
		kit.start(3, nodes);
		for (int index = 1; index <= MACHINES + 2; index++) {
			kit.new Worker(kit.node(index), 12, (worker, request, output) -> {
				Thread.sleep(worker.node.service.equals("files") ? 300 : 1_200);
				worker.answer(output, request, 200, request.field(":path").equals("/file/large")
						? new byte[kit.trouble ? BODY_BYTES : USUAL_BODY_BYTES] : "done".getBytes());
			});
		}
		Map<String, Object> routes = new LinkedHashMap<>();
		routes.put("r-file", Kit.route("/file/", "idempotent", 8_000, "files"));
		routes.put("r-order", Kit.route("/order/", "non_idempotent", 3_000, "shop"));
		Map<String, Object> services = new LinkedHashMap<>();
		services.put("shop", Kit.service());
		services.put("files", Kit.service());
		Kit.Answer configured = kit.configure(3, 1, 0, Kit.configuration(1, routes, services));
		if (configured == null || configured.status != 200 || !kit.awaitReady(30_000)) {
			kit.log("the mesh does not serve");
			return 2;
		}
		Kit.pause(5_000);

		// Other clients of the same machine; their orders go to shop.
		Kit.Daemon loaded = kit.node(1);
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

		CountDownLatch readers = new CountDownLatch(CLIENTS);
		for (int client = 0; client < CLIENTS; client++) {
			String address = kit.nodeAddress(1);
			Thread.ofVirtual().start(() -> {
				read(kit, address, cut, outcomes);
				readers.countDown();
			});
		}
		readers.await();
		Kit.pause(2_000);
		sending.set(false);
		others.await();

		long lost = cut.stream().filter((id) -> kit.runs.stream().anyMatch((run) -> run.id().equals(id))).count();
		List<String> ended = kit.daemons.stream().filter(Kit.Daemon::endedByItself).map((daemon) -> daemon.name).toList();
		kit.log("outcomes: " + outcomes);
		kit.log("processes that ended by themselves: " + ended);
		kit.log("LOST: " + lost + " requests of clients on " + loaded.name
				+ " had been passed on from kept connections to sound workers, which ran them, and their connections"
				+ " were closed without a whole answer");
		System.out.println("ended by themselves: " + ended + ", requests lost: " + lost + ", outcomes " + outcomes);
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

	// A small answer first, so that the large one is not the first on its connection.
	private static void read(Kit kit, String address, Set<String> cut, Map<String, AtomicInteger> outcomes) {
		try (Kit.Client client = new Kit.Client(kit, address, Kit.OUTBOUND)) {
			for (String path : List.of("/file/small", "/file/large", "/file/large", "/file/large")) {
				String id = kit.newId();
				try {
					Kit.Answer answer = client.call("GET", path, List.of("Host", "shop.example", "X-Request-Id", id,
							"X-Deadline-Milliseconds", "8000"), new byte[0], 9_000);
					kit.log("client: " + path + " " + id + " gets "
							+ ((answer == null) ? "no answer" : answer.status + ", " + answer.body.length + " bytes"));
					count(outcomes, path + " " + ((answer == null) ? "no answer" : String.valueOf(answer.status)));
					if (answer == null || answer.field("Connection").equalsIgnoreCase("close")) {
						return;
					}
					if (path.equals("/file/small")) {
						START.countDown();
						START.await(5, TimeUnit.SECONDS);
					}
				}
				catch (InterruptedException ex) {
					return;
				}
				catch (IOException ex) {
					kit.log("client: " + path + " " + id + ": the connection was closed without an answer");
					cut.add(id);
					count(outcomes, path + " cut");
					return;
				}
			}
		}
		catch (IOException ex) {
			count(outcomes, "no connection");
		}
	}

	private static void count(Map<String, AtomicInteger> outcomes, String outcome) {
		outcomes.computeIfAbsent(outcome, (key) -> new AtomicInteger()).incrementAndGet();
	}

}
