package io.lavenderroad.bench.backend;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

import io.lavenderroad.model.CallRules;
import io.lavenderroad.model.ConfigurationFreshness;
import io.lavenderroad.model.EndpointState;
import io.lavenderroad.model.Evidence;
import io.lavenderroad.model.HostRoute;
import io.lavenderroad.model.MoveParameters;
import io.lavenderroad.model.ObservationKey;
import io.lavenderroad.model.Route;
import io.lavenderroad.model.ThinEvidence;
import io.lavenderroad.node.HttpProperties;
import io.lavenderroad.node.LocalWithdrawal;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against wrong execution verdicts, partial answers, answers of other requests,
 * retries of non-idempotent requests, and draining nodes that accept work. Uses two nodes
 * and real sockets.
 */
public class NodeProxyTests {

	private static final int WAIT_SECONDS = 30;

	private final HttpClient client = newClient();

	private LocalMesh mesh;

	@BeforeMethod
	void start() throws IOException {
		this.mesh = new LocalMesh();
		this.mesh.start("entry", "other", "soweto", Behaviour.DEFAULT, 12, UnaryOperator.identity());
		this.mesh.start("server", "v1", "soweto", Behaviour.DEFAULT, 12, UnaryOperator.identity());
	}

	@AfterMethod
	void stop() {
		this.mesh.close();
	}

	@Test
	public void answerIsWholeAndBelongsToTheRequest() throws Exception {
		HttpResponse<String> response = send("POST", "/orders", "body of r1", Map.of("Request-Id", "r1"));
		Assert.assertEquals(response.statusCode(), 200);
		Assert.assertEquals(response.body(), "server r1\nbody of r1");
		Assert.assertEquals(header(response, "Mesh-Verdict"), "ran");
		Assert.assertEquals(header(response, "Mesh-Version"), "v1");
		Assert.assertEquals(header(response, "Mesh-Configuration-Version"), "1");
		Assert.assertEquals(this.mesh.member("server").backend().record().starts("r1"), 1);
		Evidence evidence = this.mesh.member("entry").proxy().takeEvidence();
		Assert.assertEquals(evidence.of(new ObservationKey("catalogue", "orders", "v1")).calls(), 1);
		Assert.assertTrue(this.mesh.member("entry").proxy().takeEvidence().isEmpty(), "observation taken twice");
	}

	@Test
	public void unknownServiceAndRouteAreNotRun() throws Exception {
		HttpResponse<String> route = send("GET", "/nothing", "", Map.of());
		Assert.assertEquals(route.statusCode(), 404);
		Assert.assertEquals(header(route, "Mesh-Verdict"), "not-run");
		HttpResponse<String> service = send("GET", "/items", "", Map.of("Mesh-Service", "unknown"));
		Assert.assertEquals(service.statusCode(), 404);
		Assert.assertEquals(header(service, "Mesh-Verdict"), "not-run");
	}

	@Test
	public void nodeWithAnOldConfigurationDoesNotReportAMissingRoute() throws Exception {
		for (ConfigurationFreshness old : List.of(new ConfigurationFreshness(0, 2),
				new ConfigurationFreshness(60_000, 1))) {
			this.mesh.view().freshness(old);
			HttpResponse<String> response = send("GET", "/nothing", "", Map.of());
			Assert.assertEquals(response.statusCode(), 503, old.toString());
			Assert.assertEquals(header(response, "Mesh-Verdict"), "not-run");
			Assert.assertFalse(header(response, "Retry-After").isEmpty());
		}
		Assert.assertEquals(send("GET", "/items", "", Map.of()).statusCode(), 200, "a known route is served");
	}

	@Test
	public void partialBodyIsNeverReportedAsComplete() throws Exception {
		for (String script : new String[] { "truncate", "no-length" }) {
			HttpResponse<String> response = send("POST", "/orders", "text", Map.of("Stand-In", script));
			Assert.assertEquals(response.statusCode(), 502, script);
			Assert.assertEquals(header(response, "Mesh-Verdict"), "may-have-run", script);
		}
		HttpResponse<String> chunked = send("POST", "/orders", "text", Map.of("Stand-In", "chunked"));
		Assert.assertEquals(chunked.statusCode(), 200);
	}

	/**
	 * Guards against a malformed answer of a backend server that reaches the caller, over
	 * the node of that server and that of the caller, as a complete answer or not at all.
	 */
	@Test
	public void malformedAnswerOfABackendServerReachesNoCaller() throws Exception {
		String statusLine = "HTTP/1.1 200 OK\r\n";
		String length = "Content-Length: 4\r\n";
		List<String> wrong = new ArrayList<>();
		for (String head : List.of(statusLine + "Content-Length: +4\r\n", statusLine + "Content-Length: 4, 4\r\n",
				statusLine + "Signature: a\r\n Content-Length: 4\r\n", statusLine + "Content Length: 4\r\n",
				statusLine + "Content-Length\u0001: 4\r\n", statusLine + "no field\r\n" + length,
				statusLine + "Signa ture: a\r\n" + length, statusLine + "Signa\u0000ture: a\r\n" + length,
				statusLine + "Signature\u007f: a\r\n" + length, statusLine + "Signature: \u0000\r\n" + length,
				statusLine + length + "Transfer-Encoding: chunked\r\n", "HTTP/1.1 000 OK\r\n" + length,
				"HTTP/1.1 600 OK\r\n" + length, "HTTP/1.1 999 OK\r\n" + length, "HTTP/2.0 200 OK\r\n" + length,
				"HTTP/1.1 100 Continue\r\nSigna ture: a\r\n\r\n" + statusLine + length)) {
			String script = "raw=" + URLEncoder.encode(head + "\r\nbody", StandardCharsets.ISO_8859_1);
			String outcome = outcome(Map.of("Stand-In", script));
			if (!outcome.equals("502 may-have-run")) {
				wrong.add(script + " gave " + outcome);
			}
		}
		Assert.assertTrue(wrong.isEmpty(), String.join("\n", wrong));
		String sound = URLEncoder.encode(statusLine + length + "\r\nbody", StandardCharsets.ISO_8859_1);
		Assert.assertEquals(outcome(Map.of("Stand-In", "raw=" + sound)), "200 ran");
	}

	private String outcome(Map<String, String> headers) throws InterruptedException {
		try {
			HttpResponse<String> response = send("POST", "/orders", "text", headers);
			return response.statusCode() + " " + header(response, "Mesh-Verdict");
		}
		catch (IOException ex) {
			return "no answer: " + ex.getMessage();
		}
	}

	/**
	 * Guards against requests that a stopping node accepts late in its grace period and
	 * cuts without an answer when the process ends.
	 */
	@Test
	public void stoppingNodeRefusesRequestsThatCouldOutlastIt() throws Exception {
		this.mesh.configure((service) -> service
			.routes(List.of(new Route("orders", "POST", "/orders", false, 120_000, 64 * 1024))));
		this.mesh.member("entry").proxy().leave(0, 60_000);
		HttpResponse<String> late = send("POST", "/orders", "text", Map.of("Request-Id", "late"));
		Assert.assertEquals(late.statusCode(), 503);
		Assert.assertEquals(header(late, "Mesh-Verdict"), "not-run");
		Assert.assertFalse(header(late, "Retry-After").isEmpty());
		Assert.assertEquals(starts("late"), 0);
		Assert.assertEquals(
				send("POST", "/orders", "text", Map.of("Request-Id", "short", "Mesh-Deadline-Millis", "20000"))
					.statusCode(),
				200);
	}

	@Test
	public void requestThatMayHaveRunIsNotRetried() throws Exception {
		this.mesh.start("second", "v1", "soweto", Behaviour.DEFAULT, 12, UnaryOperator.identity());
		for (int index = 0; index < 20; index++) {
			String id = "drop " + index;
			HttpResponse<String> response = send("POST", "/orders", "text",
					Map.of("Stand-In", "drop", "Request-Id", id));
			Assert.assertEquals(response.statusCode(), 502);
			Assert.assertEquals(header(response, "Mesh-Verdict"), "may-have-run");
			Assert.assertEquals(starts(id), 1, "runs of " + id);
		}
	}

	@Test
	public void keptConnectionsDoNotRepeatRequests() throws Exception {
		// The JDK client retries a GET on its own when a kept connection breaks.
		this.mesh.configure((service) -> service
			.routes(List.of(new Route("orders", "GET", "/orders", false, LocalMesh.TIMEOUT_MILLIS, 64 * 1024))));
		Assert.assertEquals(send("GET", "/orders", "", Map.of("Request-Id", "warm")).statusCode(), 200);
		HttpResponse<String> response = send("GET", "/orders", "", Map.of("Stand-In", "drop", "Request-Id", "get"));
		Assert.assertEquals(response.statusCode(), 502);
		Assert.assertEquals(starts("get"), 1);
	}

	@Test
	public void idempotentRequestIsRetriedWithinItsAttemptBudget() throws Exception {
		this.mesh.start("second", "v1", "soweto", Behaviour.DEFAULT, 12, UnaryOperator.identity());
		this.mesh.start("third", "v1", "soweto", Behaviour.DEFAULT, 12, UnaryOperator.identity());
		send("GET", "/items", "", Map.of("Stand-In", "drop", "Request-Id", "usual"));
		Assert.assertEquals(starts("usual"), 3);
		send("GET", "/items", "", Map.of("Stand-In", "drop", "Request-Id", "spent", "Mesh-Attempt-Budget", "0"));
		Assert.assertEquals(starts("spent"), 1, "a retry was already spent by an earlier hop");
	}

	@Test
	public void shedRequestIsRetriedOnAnotherServerWithAReducedAttemptBudget() throws Exception {
		HttpResponse<String> alone = send("POST", "/orders", "", Map.of("Stand-In", "shed", "Request-Id", "shed"));
		Assert.assertEquals(alone.statusCode(), 503);
		Assert.assertEquals(header(alone, "Mesh-Verdict"), "not-run");
		Assert.assertEquals(header(alone, "Retry-After"), "1");
		Assert.assertEquals(starts("shed"), 0);
		this.mesh.member("server").crash();
		this.mesh.start("second", "v1", "midrand", Behaviour.DEFAULT, 12, UnaryOperator.identity());
		boolean retried = false;
		for (int index = 0; index < 10; index++) {
			HttpResponse<String> response = send("POST", "/orders", "", Map.of("Request-Id", "r" + index));
			Assert.assertEquals(response.statusCode(), 200, response.body());
			retried |= header(response, "Seen-Attempt-Budget").equals("0");
		}
		Assert.assertTrue(retried, "no attempt reached the crashed node");
	}

	@Test
	public void drainingNodeRefusesNewWorkAndFinishesRunningWork() throws Exception {
		CompletableFuture<HttpResponse<String>> running = sendLater("POST", "/orders",
				Map.of("Stand-In", "sleep=500", "Request-Id", "running"));
		await(() -> starts("running") == 1);
		Thread closing = Thread.ofVirtual().start(this.mesh.member("server").proxy()::close);
		await(() -> this.mesh.member("server").proxy().state() == EndpointState.DRAINING);
		HttpResponse<String> refused = send("POST", "/orders", "", Map.of("Request-Id", "refused"));
		Assert.assertEquals(refused.statusCode(), 503);
		Assert.assertEquals(header(refused, "Mesh-Verdict"), "not-run");
		Assert.assertEquals(running.get(WAIT_SECONDS, TimeUnit.SECONDS).statusCode(), 200);
		closing.join();
		Assert.assertEquals(starts("refused"), 0);
	}

	@Test
	public void deadlineEndsQueuedCallsAsNotRunAndRunningOnesAsCancelled() throws Exception {
		this.mesh.configure((service) -> service.versions(List.of("small")).split(Map.of("small", 10_000)));
		this.mesh.start("small", "small", "soweto", Behaviour.DEFAULT, 1, UnaryOperator.identity());
		CompletableFuture<HttpResponse<String>> running = sendLater("POST", "/orders",
				Map.of("Stand-In", "sleep=60000", "Request-Id", "running", "Mesh-Deadline-Millis", "3000"));
		await(() -> starts("running") == 1);
		HttpResponse<String> queued = send("POST", "/orders", "",
				Map.of("Request-Id", "queued", "Mesh-Deadline-Millis", "100"));
		// Either the node refuses the call first or the caller's deadline expires first,
		// depending on the machine. AdmissionTests checks the verdict of the refusal.
		Assert.assertEquals(queued.statusCode(), 504);
		HttpResponse<String> late = running.get(WAIT_SECONDS, TimeUnit.SECONDS);
		Assert.assertEquals(late.statusCode(), 504);
		Assert.assertEquals(header(late, "Mesh-Verdict"), "may-have-run");
		Assert.assertEquals(starts("queued"), 0);
		await(() -> this.mesh.member("small").backend().record().cancelled() == 1);
	}

	@Test
	public void callWaitsForHalfOfItsTimeoutEvenIfItsLatencyObjectiveIsShorter() throws Exception {
		this.mesh.configure((service) -> service.versions(List.of("small")).split(Map.of("small", 10_000)));
		this.mesh.start("small", "small", "soweto", Behaviour.DEFAULT, 1, UnaryOperator.identity());
		CallRules rules = new CallRules("short", false, LocalMesh.TIMEOUT_MILLIS, 200, 0, 1, 64 * 1024);
		this.mesh.route(HostRoute.builder("short")
			.match("127.0.0.1", "/")
			.rules(rules)
			.weights(Map.of(LocalMesh.SERVICE, 1))
			.build());
		Map<String, String> byHost = Map.of("Mesh-Service", "", "Stand-In", "sleep=300");
		Assert.assertEquals(send("POST", "/orders", "", byHost).statusCode(), 200);
		CompletableFuture<HttpResponse<String>> running = sendLater("POST", "/orders",
				Map.of("Mesh-Service", "", "Stand-In", "sleep=1000", "Request-Id", "running"));
		await(() -> starts("running") == 1);
		HttpResponse<String> waited = send("POST", "/orders", "", byHost);
		Assert.assertEquals(waited.statusCode(), 200, header(waited, "Mesh-Reason"));
		Assert.assertEquals(running.get(WAIT_SECONDS, TimeUnit.SECONDS).statusCode(), 200);
	}

	@Test
	public void workIsCancelledWhenItsCallerNodeCrashes() throws Exception {
		CompletableFuture<HttpResponse<String>> running = sendLater("GET", "/items",
				Map.of("Stand-In", "sleep=60000", "Request-Id", "orphan"));
		await(() -> starts("orphan") == 1);
		this.mesh.member("entry").crash();
		await(() -> this.mesh.member("server").backend().record().cancelled() == 1);
		Assert.assertTrue(running.handle((response, failure) -> failure != null).get(WAIT_SECONDS, TimeUnit.SECONDS));
	}

	@Test
	public void idempotencyKeyIsAnsweredFromTheFirstRunThroughAnyNode() throws Exception {
		this.mesh.start("second", "v1", "midrand", Behaviour.DEFAULT, 12, UnaryOperator.identity());
		Map<String, String> headers = Map.of("Idempotency-Key", "k1", "Mesh-Customer", "shop", "Request-Id", "once");
		HttpResponse<String> first = send("POST", "/orders", "order", headers);
		Assert.assertEquals(first.statusCode(), 200);
		for (LocalMesh.Member member : this.mesh.members()) {
			for (int index = 0; index < 5; index++) {
				HttpResponse<String> again = this.client
					.send(request(member.url(), "POST", "/orders", "order", headers), BodyHandlers.ofString());
				Assert.assertEquals(again.body(), first.body());
				Assert.assertEquals(header(again, "Mesh-Verdict"), "ran");
			}
		}
		Assert.assertEquals(starts("once"), 1);
		send("POST", "/orders", "order", Map.of("Idempotency-Key", "k2", "Request-Id", "lost", "Stand-In", "drop"));
		HttpResponse<String> unknown = send("POST", "/orders", "order",
				Map.of("Idempotency-Key", "k2", "Request-Id", "lost", "Stand-In", "drop"));
		Assert.assertEquals(unknown.statusCode(), 409);
		Assert.assertEquals(starts("lost"), 1);
	}

	@Test
	public void invalidInputIsRejectedAndTheNodeKeepsServing() throws Exception {
		Assert.assertEquals(send("GET", "/items", "", Map.of("Mesh-Deadline-Millis", "soon")).statusCode(), 400);
		Assert.assertEquals(send("GET", "/items", "", Map.of("Mesh-Attempt-Budget", "-1")).statusCode(), 400);
		HttpResponse<String> large = send("POST", "/orders", "x".repeat(64 * 1024 + 1), Map.of("Request-Id", "large"));
		Assert.assertEquals(large.statusCode(), 413);
		Assert.assertEquals(header(large, "Mesh-Verdict"), "not-run");
		Random random = new Random(20261204);
		for (int attempt = 0; attempt < 50; attempt++) {
			try (Socket socket = new Socket()) {
				socket.connect(this.mesh.member("entry").proxy().callerAddress());
				byte[] bytes = new byte[random.nextInt(300) + 1];
				random.nextBytes(bytes);
				socket.getOutputStream().write(bytes);
			}
		}
		try (Socket socket = new Socket()) {
			socket.connect(this.mesh.member("entry").proxy().callerAddress());
			String truncated = "POST /orders HTTP/1.1\r\nMesh-Service: catalogue\r\nRequest-Id: truncated\r\n"
					+ "Content-Length: 100\r\n\r\nhalf";
			socket.getOutputStream().write(truncated.getBytes(StandardCharsets.US_ASCII));
			socket.shutdownOutput();
			socket.getInputStream().readAllBytes();
		}
		Assert.assertEquals(send("GET", "/items", "", Map.of()).statusCode(), 200);
		Assert.assertEquals(starts("truncated"), 0);
		Assert.assertEquals(starts("large"), 0);
	}

	@Test
	public void hopByHopHeadersAreNotForwarded() throws Exception {
		HttpRequest request = HttpRequest.newBuilder(URI.create(this.mesh.member("entry").url() + "/items"))
			.setHeader("Mesh-Service", LocalMesh.SERVICE)
			.setHeader("Keep-Alive", "timeout=5")
			.build();
		HttpResponse<String> response = this.client.send(request, BodyHandlers.ofString());
		Assert.assertEquals(response.statusCode(), 200);
		Assert.assertFalse(this.mesh.member("server").backend().lastHeaders().containsKey("keep-alive"));
		Assert.assertFalse(this.mesh.member("server").backend().lastHeaders().containsKey("mesh-service"));
		Assert.assertTrue(this.mesh.member("server").backend().lastHeaders().containsKey("mesh-deadline-millis"));
	}

	@Test
	public void locallyWithdrawnVersionGetsNoMoreCalls() throws Exception {
		MoveParameters move = new MoveParameters("m1", "v1", "v2", 0, ThinEvidence.HOLD, "sequential");
		LocalWithdrawal onAnyError = (service, recent, total,
				now) -> total.of(new ObservationKey(service.name(), "orders", "v2")).errors() > 0;
		this.mesh.start("bad", "v2", "soweto", Behaviour.DEFAULT.with(Map.of("error-share", "1")), 12,
				UnaryOperator.identity());
		this.mesh.start("watcher", "other", "soweto", Behaviour.DEFAULT, 12, (node) -> node.withdrawal(onAnyError));
		this.mesh.configure(
				(service) -> service.versions(List.of("v1", "v2")).split(Map.of("v1", 0, "v2", 10_000)).move(move));
		String url = this.mesh.member("watcher").url();
		await(() -> this.client.send(request(url, "POST", "/orders", "", Map.of()), BodyHandlers.ofString())
			.statusCode() == 200);
	}

	@Test
	public void administrationPagesReportCallsAndDrainTheNode() throws Exception {
		this.mesh.start("admin", "other", "soweto", Behaviour.DEFAULT, 12,
				(node) -> node.adminAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
					.healthPath("/health")
					.loadPath("/load"));
		LocalMesh.Member member = this.mesh.member("admin");
		String admin = "http://127.0.0.1:" + member.proxy().adminAddress().orElseThrow().getPort();
		Map<String, String> customer = Map.of("Mesh-Customer", "shop");
		this.client.send(request(member.url(), "GET", "/items", "", customer), BodyHandlers.ofString());
		Assert.assertTrue(page(admin, "GET", "/metrics").body()
			.contains("lavenderroad_calls_total{service=\"catalogue\",customer=\"shop\",verdict=\"ran\"} 1"));
		Assert.assertTrue(page(admin, "GET", "/endpoints").body().contains("\"node\":\"server\""));
		Assert.assertEquals(page(admin, "GET", "/health").statusCode(), 200);
		Assert.assertEquals(page(admin, "GET", "/nothing").statusCode(), 404);
		Assert.assertEquals(page(admin, "POST", "/drain").statusCode(), 202);
		await(() -> page(admin, "GET", "/health").statusCode() == 503);
	}

	private HttpResponse<String> page(String admin, String method, String path)
			throws IOException, InterruptedException {
		return this.client.send(request(admin, method, path, "", Map.of()), BodyHandlers.ofString());
	}

	private int starts(String id) {
		return this.mesh.members().stream().mapToInt((member) -> member.backend().record().starts(id)).sum();
	}

	private static void await(Callable<Boolean> condition) throws Exception {
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
		while (!condition.call()) {
			Assert.assertTrue(System.nanoTime() < end, "condition not reached");
			Thread.sleep(5);
		}
	}

	private CompletableFuture<HttpResponse<String>> sendLater(String method, String path, Map<String, String> headers) {
		return this.client.sendAsync(request(this.mesh.member("entry").url(), method, path, "", headers),
				BodyHandlers.ofString());
	}

	private HttpResponse<String> send(String method, String path, String body, Map<String, String> headers)
			throws IOException, InterruptedException {
		return this.client.send(request(this.mesh.member("entry").url(), method, path, body, headers),
				BodyHandlers.ofString());
	}

	private static HttpRequest request(String url, String method, String path, String body,
			Map<String, String> headers) {
		HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(url + path))
			.timeout(Duration.ofSeconds(WAIT_SECONDS))
			.setHeader("Mesh-Service", LocalMesh.SERVICE)
			.method(method, HttpRequest.BodyPublishers.ofString(body));
		headers.forEach(request::setHeader);
		return request.build();
	}

	private static String header(HttpResponse<?> response, String name) {
		return response.headers().firstValue(name).orElse("");
	}

	private static HttpClient newClient() {
		HttpProperties.set();
		return HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
	}

}
