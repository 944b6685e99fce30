package io.lavenderroad.node.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.vavr.control.Either;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against responses that are attributed to another request, truncated responses
 * that look complete, reuse of connections whose streams are out of step, and requests
 * that are sent twice.
 */
public class BackendExchangeTests {

	private static final long TIMEOUT_MILLIS = 30_000;

	/**
	 * More than the limits of a response and the buffers of a connection together.
	 */
	private static final long MAXIMUM_ENDLESS_BYTES = 24 * 1024 * 1024;

	private static final String REFUSAL = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n";

	private final AtomicInteger connections = new AtomicInteger();

	private final AtomicInteger requests = new AtomicInteger();

	private final AtomicLong nowMillis = new AtomicLong();

	private ScheduledExecutorService timer;

	private ServerSocket server;

	private BackendPool pool;

	private BackendExchange exchange;

	private final AtomicLong endlessBytes = new AtomicLong();

	private volatile String answer;

	private volatile String endlessAnswer;

	private volatile String requestLine;

	@BeforeMethod
	void start() throws IOException {
		this.endlessAnswer = "";
		this.connections.set(0);
		this.requests.set(0);
		this.timer = Executors.newSingleThreadScheduledExecutor();
		this.server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
		this.pool = new BackendPool(new InetSocketAddress(InetAddress.getLoopbackAddress(), this.server.getLocalPort()),
				this.nowMillis::get);
		this.exchange = new BackendExchange(this.pool, CallerMemory.ofHeap(), this.timer, 1_000, KeepAlive::millis);
		Thread.ofVirtual().start(this::accept);
	}

	@AfterMethod
	void stop() throws IOException {
		this.server.close();
		this.pool.close();
		this.timer.shutdownNow();
	}

	@Test
	public void idleConnectionIsReusedUntilItsKeepAliveTimeExpires() {
		this.answer = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2\r\nContent-Length: 2\r\n\r\nok";
		Assert.assertEquals(text(run("r1")), "ok");
		Assert.assertEquals(text(run("r1")), "ok");
		Assert.assertEquals(this.connections.get(), 1);
		this.nowMillis.addAndGet(1_500);
		Assert.assertEquals(text(run("r1")), "ok");
		Assert.assertEquals(this.connections.get(), 2);
	}

	@Test
	public void responseToAnotherRequestIsDropped() {
		this.answer = "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\nold"
				+ "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 3\r\n\r\nnew";
		Assert.assertEquals(text(run("r1")), "new");
	}

	@Test
	public void lateSecondResponseWithoutIdIsDroppedWhereOthersHaveOne() {
		this.answer = "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 5\r\n\r\nfirst";
		Assert.assertEquals(text(run("r1")), "first");
		this.answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
				+ "HTTP/1.1 200 OK\r\nId: r2\r\nContent-Length: 6\r\n\r\nsecond";
		Assert.assertEquals(text(run("r2")), "second");
		Assert.assertEquals(this.connections.get(), 1);
	}

	// Whoever wrote one answer too many may write the next one, too.
	@Test
	public void connectionIsNotReusedAfterADroppedResponse() {
		this.answer = "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\nold"
				+ "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 3\r\n\r\nnew";
		Assert.assertEquals(text(run("r1")), "new");
		this.answer = "HTTP/1.1 200 OK\r\nId: r2\r\nContent-Length: 2\r\n\r\nok";
		Assert.assertEquals(text(run("r2")), "ok");
		Assert.assertEquals(this.connections.get(), 2);
	}

	@Test
	public void repeatedRefusalIsNotTakenForTheAnswerToTheNextRequest() {
		this.answer = REFUSAL + "Id: r1\r\n\r\n";
		Assert.assertEquals(run("r1").get().status(), 503);
		this.answer = REFUSAL + "Id: r1\r\n\r\n" + "HTTP/1.1 200 OK\r\nId: r2\r\nContent-Length: 3\r\n\r\nran";
		Assert.assertEquals(text(run("r2")), "ran");
		Assert.assertEquals(this.connections.get(), 1);
	}

	@Test
	public void requestIsNotSentAgainOnTheConnectionOnWhichItWasRefused() {
		this.answer = REFUSAL + "Id: r1\r\n\r\n";
		Assert.assertEquals(run("r1").get().status(), 503);
		Assert.assertEquals(run("r1").get().status(), 503);
		Assert.assertEquals(this.connections.get(), 2);
	}

	@Test
	public void connectionIsNotReusedAfterARefusalWithoutId() {
		this.answer = REFUSAL + "\r\n";
		Assert.assertEquals(run("r1").get().status(), 503);
		this.answer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nran";
		Assert.assertEquals(text(run("r2")), "ran");
		Assert.assertEquals(this.connections.get(), 2);
	}

	@Test
	public void connectionWithSurplusBytesAfterTheResponseIsNotReused() {
		this.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra";
		Assert.assertEquals(text(run("r1")), "ok");
		this.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
		Assert.assertEquals(text(run("r2")), "ok");
		Assert.assertEquals(this.connections.get(), 2);
	}

	@Test
	public void truncatedOrMalformedResponseIsAFailureAndIsNotRetried() {
		for (String brokenResponse : List.of("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
				"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel", "HTTP/1.1 200", "",
				"nonsense\r\n\r\n")) {
			this.answer = brokenResponse + "<close>";
			int requestsBefore = this.requests.get();
			Assert.assertEquals(run("r1").getLeft().kind(), BackendFailure.Kind.BROKEN, brokenResponse);
			Assert.assertEquals(this.requests.get(), requestsBefore + 1, brokenResponse);
		}
	}

	@Test
	public void responseWithoutLengthEndsWhenItsConnectionIsClosed() {
		this.answer = "HTTP/1.1 200 OK\r\n\r\nall of it<close>";
		BackendResponse response = run("r1").get();
		Assert.assertEquals(text(Either.right(response)), "all of it");
		Assert.assertFalse(response.framed());
	}

	@Test
	public void timedOutAndCancelledRequestsFailWithTheirCause() {
		this.answer = "HTTP/1.1 100 Continue\r\n\r\n";
		Assert.assertEquals(this.exchange.run(request("r1"), 20, new Cancellation()).getLeft().kind(),
				BackendFailure.Kind.OVERDUE);
		Cancellation cancellation = new Cancellation();
		this.timer.execute(cancellation::cancel);
		Assert.assertEquals(this.exchange.run(request("r1"), TIMEOUT_MILLIS, cancellation).getLeft().kind(),
				BackendFailure.Kind.CANCELLED);
	}

	@Test
	public void refusedConnectionIsReportedAsUnreachable() throws IOException {
		ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
		InetSocketAddress address = new InetSocketAddress(unused.getInetAddress(), unused.getLocalPort());
		unused.close();
		BackendExchange unreachable = new BackendExchange(new BackendPool(address, this.nowMillis::get),
				CallerMemory.ofHeap(), this.timer, 1_000, KeepAlive::millis);
		Assert.assertEquals(unreachable.run(request("r1"), TIMEOUT_MILLIS, new Cancellation()).getLeft().kind(),
				BackendFailure.Kind.UNREACHABLE);
	}

	/**
	 * Guards against a response that breaks off in its head and is taken for one without
	 * a body.
	 */
	@Test
	public void responseThatEndsInItsHeadIsAFailure() {
		for (String head : List.of("HTTP/1.1 200 OK\r\nContent-Length: 12\r\nId: r1\r\n\r\n",
				"HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n",
				"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nId: r1\r\n\r\n")) {
			for (int length = 0; length < head.length(); length++) {
				this.answer = head.substring(0, length) + "<close>";
				Assert.assertTrue(run("r1").isLeft(), this.answer);
			}
		}
	}

	/**
	 * Guards against a faulty backend server that sends bytes without end, which the node
	 * keeps until it runs out of memory.
	 */
	@Test
	public void endlessResponseIsGivenUp() {
		String chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
		String field = "Field: " + "x".repeat(1_000) + "\r\n";
		String folded = " " + "x".repeat(1_000) + "\r\n";
		for (String[] response : new String[][] { { "", "x".repeat(1_000) }, { "", "\r\n" }, { "HTTP/1.1 2", "0" },
				{ "HTTP/1.1 200 OK\r\n", field }, { "HTTP/1.1 200 OK\r\nA: b\r\n", folded },
				{ "", "HTTP/1.1 100 Continue\r\n\r\n" }, { "HTTP/1.1 200 OK\r\n\r\n", field },
				{ chunked, "400\r\n" + "x".repeat(1_024) + "\r\n" }, { chunked + "1;", "x".repeat(1_000) },
				{ chunked + "0\r\n", field }, { chunked + "0\r\nA: b\r\n", folded },
				{ "", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n" } }) {
			this.answer = response[0];
			this.endlessAnswer = response[1];
			this.endlessBytes.set(0);
			Assert.assertTrue(run("r1").isLeft(), response[0] + response[1].trim());
			Assert.assertTrue(this.endlessBytes.get() < MAXIMUM_ENDLESS_BYTES, response[0] + response[1].trim());
		}
	}

	/**
	 * Guards against a path whose first segment is read as a host and dropped.
	 */
	@Test
	public void targetIsSentAsItIs() {
		this.answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
		for (String target : List.of("//orders/7/cancel", "/a//b%2F?c=//d", "///", "/a/../b", "/[:")) {
			BackendRequest request = new BackendRequest("POST", target, HeaderFields.of(List.of("Host", "h")),
					new byte[0], (response) -> ResponseMatch.UNNAMED, (response) -> false);
			Assert.assertTrue(this.exchange.run(request, TIMEOUT_MILLIS, new Cancellation()).isRight());
			Assert.assertEquals(this.requestLine, "POST " + target + " HTTP/1.1");
		}
	}

	private Either<BackendFailure, BackendResponse> run(String id) {
		return this.exchange.run(request(id), TIMEOUT_MILLIS, new Cancellation());
	}

	private static BackendRequest request(String id) {
		return new BackendRequest("GET", "/", HeaderFields.of(List.of("Host", "h")), new byte[0],
				(answer) -> match(answer.text("Id"), id), (response) -> response.status() == 503);
	}

	private static ResponseMatch match(String responseId, String requestId) {
		if (responseId.isEmpty()) {
			return ResponseMatch.UNNAMED;
		}
		return responseId.equals(requestId) ? ResponseMatch.SAME : ResponseMatch.OTHER;
	}

	private static String text(Either<BackendFailure, BackendResponse> response) {
		return new String(response.get().body(), StandardCharsets.ISO_8859_1);
	}

	private void accept() {
		while (!this.server.isClosed()) {
			try {
				Socket socket = this.server.accept();
				this.connections.incrementAndGet();
				Thread.ofVirtual().start(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			while (readHead(socket)) {
				this.requests.incrementAndGet();
				String text = this.answer;
				boolean close = text.endsWith("<close>");
				socket.getOutputStream().write(text.replace("<close>", "").getBytes(StandardCharsets.ISO_8859_1));
				if (close) {
					return;
				}
				writeEndless(socket);
			}
		}
		catch (IOException ex) {
			// The client has closed the connection.
		}
	}

	private void writeEndless(Socket socket) throws IOException {
		byte[] repeated = this.endlessAnswer.getBytes(StandardCharsets.ISO_8859_1);
		while (repeated.length > 0 && this.endlessBytes.get() < MAXIMUM_ENDLESS_BYTES) {
			socket.getOutputStream().write(repeated);
			this.endlessBytes.addAndGet(repeated.length);
		}
	}

	private boolean readHead(Socket socket) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = socket.getInputStream().read();
			if (next < 0) {
				return false;
			}
			head.append((char) next);
		}
		this.requestLine = head.substring(0, head.indexOf("\r\n"));
		return true;
	}

}
