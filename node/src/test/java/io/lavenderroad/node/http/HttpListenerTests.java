package io.lavenderroad.node.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

import io.lavenderroad.model.CallerLimits;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against responses out of order, disconnects of callers that are not noticed,
 * truncated bodies that look complete, and callers that send too much or too slowly.
 */
public class HttpListenerTests {

	private static final int WAIT_SECONDS = 30;

	private static final CallerLimits LIMITS = new CallerLimits(2_000, 1_000, 300, 60_000);

	/**
	 * More than the buffers of a connection take.
	 */
	private static final int LARGE_BYTES = 16 * 1024 * 1024;

	private final List<String> bodies = new CopyOnWriteArrayList<>();

	private final List<Socket> halfClosed = new ArrayList<>();

	private CountDownLatch release;

	private CountDownLatch disconnected;

	private HttpListener listener;

	@BeforeMethod
	void start() throws IOException {
		this.bodies.clear();
		this.release = new CountDownLatch(1);
		this.disconnected = new CountDownLatch(1);
		this.listener = HttpListener.builder()
			.limits(() -> LIMITS)
			.handler(this::answer)
			.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
		this.listener.start();
	}

	@AfterMethod
	void stop() {
		this.listener.close();
	}

	@Test
	public void pipelinedRequestsRunConcurrentlyAndAreAnsweredInOrder() throws IOException {
		try (Socket socket = connect()) {
			send(socket, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\nGET /release HTTP/1.1\r\nHost: h\r\n\r\n"
					+ "POST /last HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nConnection: close\r\n\r\nab");
			String answers = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
			Assert.assertTrue(answers.indexOf("/wait") < answers.indexOf("/release"), answers);
			Assert.assertTrue(answers.indexOf("/release") < answers.indexOf("/last"), answers);
			Assert.assertTrue(answers.endsWith("/last ab"), answers);
		}
	}

	@Test
	public void callerDisconnectIsNoticedWhileItsRequestRuns() throws Exception {
		Socket socket = connect();
		send(socket, "GET /depart HTTP/1.1\r\nHost: h\r\n\r\n");
		socket.close();
		Assert.assertTrue(this.disconnected.await(WAIT_SECONDS, TimeUnit.SECONDS));
	}

	@Test
	public void truncatedChunkedBodyIsNotHandled() throws IOException {
		try (Socket socket = connect()) {
			send(socket,
					"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
							+ "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc");
			socket.shutdownOutput();
			String answers = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
			Assert.assertTrue(answers.contains("/a abcde"), answers);
		}
		Assert.assertEquals(this.bodies, List.of("abcde"));
	}

	@Test
	public void requestsOverTheLimitsGetAnErrorStatusAndTheConnectionIsClosed() throws IOException {
		Assert.assertEquals(status("GET / HTTP/1.1\r\nLarge: " + "x".repeat(3_000) + "\r\n\r\n"), "431");
		String manyHeaders = ("Many: " + "x".repeat(1_000) + "\r\n").repeat(400);
		Assert.assertEquals(status("GET / HTTP/1.1\r\nHost: h\r\n" + manyHeaders + "\r\n"), "431");
		Assert.assertEquals(status("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n"), "413");
		Assert.assertEquals(status("GET / HTTP/1.1\r\nHost"), "408");
		Assert.assertEquals(status("no request\r\n\r\n"), "400");
		Assert.assertEquals(this.bodies, List.of());
	}

	/**
	 * Guards against a request that the node and a proxy in front of it delimit in
	 * different ways.
	 */
	@Test
	public void requestWithAMalformedLengthIsRejected() throws IOException {
		String chunked = "Transfer-Encoding: chunked\r\n";
		for (String fields : List.of("Content-Length: +2\r\n", "Content-Length: -0\r\n", "Content-Length: 2,2\r\n",
				"Content-Length: 2\r\nContent-Length: 2\r\n", "Content-Length: 2\r\n" + chunked, chunked + chunked,
				"Transfer-Encoding: identity\r\n", "Transfer-Encoding: gzip, chunked\r\n")) {
			Assert.assertEquals(status("POST / HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n2\r\nab\r\n0\r\n\r\n"), "400",
					fields);
		}
		Assert.assertEquals(this.bodies, List.of());
	}

	@Test
	public void requestWithMalformedChunksIsRejected() throws IOException {
		String head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
		for (String body : List.of("+2\r\nab\r\n0\r\n\r\n", " 2\r\nab\r\n0\r\n\r\n", "2\r\nab\r\n-0\r\n\r\n",
				"2\r\nabc\r\n0\r\n\r\n", "0x2\r\nab\r\n0\r\n\r\n", "2\r\nab\r\n0\r\nNa me: a\r\n\r\n")) {
			Assert.assertEquals(status(head + body), "400", body);
		}
		Assert.assertEquals(this.bodies, List.of());
	}

	/**
	 * Guards against a reset in place of the response, if a caller still sends the
	 * request that was rejected.
	 */
	@Test
	public void callerThatStillSendsGetsTheResponseToItsRejectedRequest() throws IOException {
		try (Socket socket = connect()) {
			send(socket, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n");
			BufferedReader reader = new BufferedReader(
					new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
			Assert.assertTrue(reader.readLine().contains(" 413 "));
			for (int block = 0; block < 100; block++) {
				send(socket, "x".repeat(10_000));
			}
			String last = "";
			for (String line = reader.readLine(); line != null; line = reader.readLine()) {
				last = line;
			}
			Assert.assertEquals(last, "the body is over 1000 bytes");
		}
	}

	/**
	 * Guards against the answer to a rejected request that is subtracted from the used
	 * memory without having been added.
	 */
	@Test
	public void answerToARejectedRequestLeavesTheMemoryBalanced() throws IOException {
		try (Socket socket = connect()) {
			send(socket, "no request\r\n\r\n");
			Assert.assertTrue(
					new BufferedReader(new InputStreamReader(socket.getInputStream())).readLine().contains("400"));
			awaitZero(this.listener::unansweredRequests);
			awaitZero(() -> (int) this.listener.heldBytes());
		}
	}

	/**
	 * Guards against a caller that holds back its body until it is asked for and is
	 * refused as too slow.
	 */
	@Test
	public void callerThatExpectsContinueIsAskedForItsBody() throws IOException {
		try (Socket socket = connect()) {
			String head = "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n";
			send(socket, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n" + head + "Connection: close\r\n\r\n");
			InputStream input = socket.getInputStream();
			String answers = "";
			while (!answers.endsWith(" 100 Continue\r\n\r\n")) {
				int next = input.read();
				Assert.assertTrue(next >= 0, answers);
				answers += (char) next;
			}
			Assert.assertTrue(answers.contains("/a HTTP/1.1 100"), answers);
			send(socket, "ab");
			Assert.assertTrue(new String(input.readAllBytes(), StandardCharsets.ISO_8859_1).endsWith("/b ab"));
		}
	}

	@Test
	public void requestCountsAsUnansweredUntilItsResponseIsWritten() throws Exception {
		try (Socket socket = connect()) {
			send(socket, "GET /large HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
			await(this.release);
			Assert.assertEquals(this.listener.unansweredRequests(), 1, "the caller has read nothing");
			Assert.assertTrue(socket.getInputStream().readAllBytes().length > LARGE_BYTES);
			awaitZero(this.listener::unansweredRequests);
		}
	}

	@Test
	public void unexpectedErrorEndsOnlyItsOwnRequest() throws IOException {
		Assert.assertEquals(status("GET /overflow HTTP/1.1\r\nHost: h\r\n\r\n"), "500");
		Assert.assertEquals(status("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"), "200");
	}

	@Test
	public void drainingListenerClosesEachConnectionAfterItsNextResponse() throws IOException {
		try (Socket socket = connect()) {
			this.listener.leave();
			send(socket, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
			String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
			Assert.assertTrue(answer.contains("Connection: close"), answer);
			Assert.assertTrue(answer.endsWith("/a "), answer);
		}
	}

	/**
	 * Guards against a path whose first segment is read as a host and dropped.
	 */
	@Test
	public void targetIsHandledAsItWasSent() throws IOException {
		try (Socket socket = connect()) {
			send(socket, "GET //a/b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
			String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
			Assert.assertTrue(answer.endsWith("//a/b "), answer);
		}
		Assert.assertEquals(status("GET http://other/a HTTP/1.1\r\nHost: h\r\n\r\n"), "400");
		Assert.assertEquals(status("GET a HTTP/1.1\r\nHost: h\r\n\r\n"), "400");
		Assert.assertEquals(status("GET http://h/a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"), "200");
	}

	/**
	 * Guards against a closed connection that cuts pipelined requests which already run.
	 */
	@Test
	public void drainingListenerAnswersAllRequestsThatItHasRead() throws IOException {
		try (Socket socket = connect()) {
			send(socket, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n" + "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
					+ "GET /leave-and-release HTTP/1.1\r\nHost: h\r\n\r\n");
			String answers = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
			Assert.assertTrue(answers.contains("/wait "), answers);
			Assert.assertTrue(answers.contains("/a "), answers);
			Assert.assertTrue(answers.endsWith("/leave-and-release "), answers);
			Assert.assertEquals(answers.indexOf("Connection: close"), answers.lastIndexOf("Connection: close"));
		}
	}

	/**
	 * Guards against readers and writers of connections that stay behind, with the
	 * requests that they hold, until the process runs out of memory.
	 */
	@Test
	public void nothingStaysBehindOfCallersThatLeave() throws Exception {
		String wait = "GET /depart HTTP/1.1\r\nHost: h\r\n\r\n";
		List<String> sent = List.of("", "GET / HTTP/1.1\r\nHo", "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nab", wait,
				wait.repeat(17), wait.repeat(64), "GET /a HTTP/1.1\r\nHost: h\r\n\r\n".repeat(40));
		for (int client = 0; client < 1_001; client++) {
			Socket socket = connect();
			send(socket, sent.get(client % sent.size()));
			switch (client % 3) {
				case 0 -> socket.shutdownOutput();
				case 1 -> socket.setSoLinger(true, 0);
				default -> socket.getOutputStream().flush();
			}
			if (client % 3 > 0) {
				socket.close();
			}
			else {
				this.halfClosed.add(socket);
			}
		}
		this.disconnected.countDown();
		awaitZero(this.listener::readingConnections);
		awaitZero(this.listener::answeringConnections);
		Assert.assertEquals(this.listener.unansweredRequests(), 0);
		awaitZero(() -> (int) this.listener.heldBytes());
		for (Socket socket : this.halfClosed) {
			socket.close();
		}
	}

	private OutgoingResponse answer(IncomingRequest request) {
		switch (request.path()) {
			case "/wait" -> await(this.release);
			case "/release" -> this.release.countDown();
			case "/leave-and-release" -> {
				this.listener.leave();
				this.release.countDown();
			}
			case "/depart" -> {
				request.departure().onCancel(this.disconnected::countDown);
				await(this.disconnected);
			}
			case "/large" -> {
				this.release.countDown();
				return new OutgoingResponse(200, HeaderFields.NONE, new byte[LARGE_BYTES], false);
			}
			case "/overflow" -> throw new StackOverflowError();
			default -> this.bodies.add(new String(request.body(), StandardCharsets.ISO_8859_1));
		}
		String text = request.path() + " " + new String(request.body(), StandardCharsets.ISO_8859_1);
		return new OutgoingResponse(200, HeaderFields.NONE, text.getBytes(StandardCharsets.ISO_8859_1), false);
	}

	private String status(String request) throws IOException {
		try (Socket socket = connect()) {
			send(socket, request);
			BufferedReader reader = new BufferedReader(
					new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
			String status = reader.readLine().split(" ")[1];
			while (reader.readLine() != null) {
				Assert.assertFalse(socket.isClosed());
			}
			return status;
		}
	}

	private Socket connect() throws IOException {
		Socket socket = new Socket();
		socket.connect(this.listener.address());
		socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
		return socket;
	}

	private static void send(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
	}

	private static void awaitZero(IntSupplier count) {
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
		while (count.getAsInt() > 0 && System.nanoTime() < end) {
			Thread.onSpinWait();
		}
		Assert.assertEquals(count.getAsInt(), 0);
	}

	private static void await(CountDownLatch latch) {
		try {
			Assert.assertTrue(latch.await(WAIT_SECONDS, TimeUnit.SECONDS));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
