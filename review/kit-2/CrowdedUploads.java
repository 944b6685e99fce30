import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A few clients on one machine upload large bodies on kept connections. No process is
 * killed, stopped or slowed, and no connection is harmed.
 */
public final class CrowdedUploads {

	private static final int CLIENTS = Integer.getInteger("clients", 12);

	private static final int BODY_BYTES = Integer.getInteger("kilobytes", 4_000) * 1_000;

	/** Body with TROUBLE=0: the mean of the uploads of the site. */
	private static final int USUAL_BODY_BYTES = 60_000;

	private static final int WORK_MILLIS = Integer.getInteger("work", 1_500);

	/** How fast a client sends its body. */
	private static final int KILOBYTES_PER_SECOND = Integer.getInteger("rate", 2_500);

	private static final int SECONDS = Integer.getInteger("seconds", 40);

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
				Thread.sleep(request.field(":path").startsWith("/upload/") ? WORK_MILLIS : 100);
				worker.answer(output, request, 200, "done".getBytes());
			});
		}
		Map<String, Object> routes = new LinkedHashMap<>();
		routes.put("r-upload", Kit.route("/upload/", "upload", 8_000, "intake"));
		routes.put("r-order", Kit.route("/order/", "non_idempotent", 3_000, "intake"));
		Map<String, Object> services = new LinkedHashMap<>();
		services.put("shop", Kit.service());
		services.put("intake", Kit.service());
		Kit.Answer configured = kit.configure(3, 1, 0, Kit.configuration(1, routes, services));
		if (configured == null || configured.status != 200 || !kit.awaitReady(30_000)) {
			kit.log("the mesh does not serve");
			return 2;
		}
		Kit.pause(5_000);

		AtomicBoolean sending = new AtomicBoolean(true);
		Set<String> cut = ConcurrentHashMap.newKeySet();
		Map<String, AtomicInteger> outcomes = new ConcurrentSkipListMap<>();
		CountDownLatch clients = new CountDownLatch(CLIENTS);
		for (int client = 1; client <= CLIENTS; client++) {
			String name = "client-" + client;
			Thread.ofVirtual().start(() -> {
				use(kit, name, sending, cut, outcomes);
				clients.countDown();
			});
		}
		Kit.pause(SECONDS * 1_000L);
		sending.set(false);
		clients.await();

		long lost = cut.stream().filter((id) -> kit.runs.stream().anyMatch((run) -> run.id().equals(id))).count();
		kit.log("outcomes: " + outcomes);
		kit.log("processes that ended by themselves: "
				+ kit.daemons.stream().filter(Kit.Daemon::endedByItself).map((daemon) -> daemon.name).toList());
		kit.log("LOST: " + lost + " uploads had been passed on by node-1 from kept connections to sound workers, which ran"
				+ " them, and node-1 closed their connections without an answer before their deadline");
		System.out.println("uploads lost: " + lost + ", outcomes " + outcomes);
		return (lost > 3) ? 1 : 0;
	}

	// An order first, so that the upload is not the first request of its connection.
	private static void use(Kit kit, String name, AtomicBoolean sending, Set<String> cut,
			Map<String, AtomicInteger> outcomes) {
		while (sending.get()) {
			try (Kit.Client client = new Kit.Client(kit, kit.nodeAddress(1), Kit.OUTBOUND)) {
				boolean open = send(kit, client, name, "order", "/order/1", 3_000, "an order".getBytes(), cut, outcomes);
				while (open && sending.get()) {
					Kit.pause(ThreadLocalRandom.current().nextInt(600));
					open = send(kit, client, name, "upload", "/upload/x", 8_000,
							new byte[kit.trouble ? BODY_BYTES : USUAL_BODY_BYTES], cut, outcomes);
				}
			}
			catch (IOException ex) {
				count(outcomes, "no connection");
			}
			Kit.pause(200);
		}
	}

	private static boolean send(Kit kit, Kit.Client client, String name, String what, String path, int millis,
			byte[] body, Set<String> cut, Map<String, AtomicInteger> outcomes) {
		String id = kit.newId();
		kit.log(name + " sends " + what + " " + id + ", " + body.length + " bytes");
		double start = kit.now();
		try {
			Kit.Answer answer = call(client, path, List.of("Host", "shop.example", "X-Request-Id", id,
					"X-Deadline-Milliseconds", Integer.toString(millis)), body, millis + 500);
			String outcome = (answer == null) ? "no answer" : String.valueOf(answer.status);
			kit.log(name + ": " + what + " " + id + " gets " + outcome);
			count(outcomes, what + " " + outcome);
			return answer != null && !answer.field("Connection").equalsIgnoreCase("close");
		}
		catch (IOException ex) {
			kit.log(String.format("%s: %s %s: the connection was closed without an answer, after %.1f s", name, what, id,
					kit.now() - start));
			if (kit.now() - start < millis / 1e3) {
				cut.add(id);
			}
			count(outcomes, what + " cut");
			return false;
		}
	}

	// Sends the body at the speed of a usual link. Reads the answer also if the node answers before it has read all.
	private static Kit.Answer call(Kit.Client client, String path, List<String> fields, byte[] body, int millis)
			throws IOException {
		Thread.ofVirtual().start(() -> {
			try {
				client.send("POST", path, fields, body, KILOBYTES_PER_SECOND);
			}
			catch (IOException ex) {
				// The answer or the end of the connection is read below.
			}
		});
		return client.receive(millis);
	}

	private static void count(Map<String, AtomicInteger> outcomes, String outcome) {
		outcomes.computeIfAbsent(outcome, (key) -> new AtomicInteger()).incrementAndGet();
	}

}
