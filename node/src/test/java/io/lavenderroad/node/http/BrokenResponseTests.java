package io.lavenderroad.node.http;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import io.vavr.control.Either;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a response whose head or framing is malformed and that is passed on as a
 * complete response, with a body that the backend server did not send as such. The
 * stand-in of the backend server sends each response as it is written here and ends its
 * side of the connection, so that a body without a length ends, too.
 */
public class BrokenResponseTests {

	private static final long TIMEOUT_MILLIS = 10_000;

	private static final int MAXIMUM_BODY_BYTES = 64 * 1024;

	private static final int HIGHEST_BYTE = 0xff;

	private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";

	private static final String FIELDS = "Server: stand-in\r\nSignature: 3e1b\r\n";

	private static final String BODY = "twelve bytes";

	private static final String LENGTH = "Content-Length: 12\r\n";

	private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";

	private static final String TOKEN_SEPARATORS = "\"(),/:;<=>?@[\\]{}";

	private ScheduledExecutorService timer;

	private ServerSocket server;

	private volatile String answer;

	@BeforeMethod
	void start() throws IOException {
		this.timer = Executors.newSingleThreadScheduledExecutor();
		this.server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
		Thread.ofVirtual().start(this::accept);
	}

	@AfterMethod
	void stop() throws IOException {
		this.server.close();
		this.timer.shutdownNow();
	}

	@Test
	public void soundResponsesArePassedOn() {
		for (String head : List.of(STATUS_LINE + FIELDS + LENGTH, STATUS_LINE + LENGTH + FIELDS,
				"HTTP/1.0 200 OK\r\n" + LENGTH, "HTTP/1.1 200 \r\n" + LENGTH, STATUS_LINE + "content-length:12\r\n",
				STATUS_LINE + "CONTENT-LENGTH: \t 12 \t\r\n", STATUS_LINE + "Content-Length: 0012\r\n",
				"HTTP/1.1 200 all\tfine \u00e4\r\n" + LENGTH, "HTTP/1.1 200 as HTTP/1.1 says\r\n" + LENGTH,
				STATUS_LINE + "Via: HTTP/1.1 proxy, HTTP/1.1\r\nNote: HTTP/1.1 2000 HTTP/2.0 200 \r\n" + LENGTH,
				STATUS_LINE + "!#$%&'*+-.^_`|~09azAZ: \"\u00ff\"\t;\r\n",
				STATUS_LINE + "Empty:\r\nBlank: \t\r\n" + LENGTH, STATUS_LINE, STATUS_LINE + FIELDS,
				"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + STATUS_LINE + LENGTH)) {
			assertSound(head + "\r\n" + BODY);
		}
		for (String body : List.of("c\r\n" + BODY + "\r\n0\r\n\r\n", "000C\r\n" + BODY + "\r\n00\r\n\r\n",
				"6;a=b\r\ntwelve\r\n6 ;\tc=\"d;e\"\r\n bytes\r\n0;f\r\nTrailer: kept\r\n\r\n")) {
			assertSound(STATUS_LINE + CHUNKED + "\r\n" + body);
			assertSound(STATUS_LINE + "transfer-encoding: Chunked\r\n\r\n" + body);
		}
	}

	/**
	 * Guards against a length that is read although it is none, or read in another way
	 * than another recipient does.
	 */
	@Test
	public void responseWithAMalformedLengthIsAFailure() {
		List<String> accepted = new ArrayList<>();
		for (String value : List.of("", "+12", "-12", "+0", "-0", "- 12", "0x0c", "0xc", "1 2", "12 12", "12,", ",12",
				"12,12", "12, 12", "12, 13", "12.0", "1e1", "12;", "\"12\"", "12\u00a0", "\u00b2", "x", "12a", "a12",
				"9223372036854775808", "18446744073709551628", "1".repeat(100))) {
			addIfAccepted(accepted, STATUS_LINE + "Content-Length: " + value + "\r\n" + FIELDS + "\r\n" + BODY);
		}
		for (String length : List.of(LENGTH + LENGTH, LENGTH + "Content-Length: 2\r\n", LENGTH + CHUNKED,
				CHUNKED + LENGTH, CHUNKED + CHUNKED, "Transfer-Encoding:\r\n", "Transfer-Encoding: identity\r\n",
				"Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: chunked, chunked\r\n",
				"Transfer-Encoding: xchunked\r\n", "Transfer-Encoding: chunked;a=b\r\n",
				"Transfer-Encoding: chunked, identity\r\n", "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
				"Transfer-Encoding: \"chunked\"\r\n")) {
			addIfAccepted(accepted, STATUS_LINE + length + FIELDS + "\r\nc\r\n" + BODY + "\r\n0\r\n\r\n");
		}
		addIfAccepted(accepted, "HTTP/1.0 200 OK\r\n" + CHUNKED + "\r\nc\r\n" + BODY + "\r\n0\r\n\r\n");
		for (String start : List.of("HTTP/1.1 204 No Content\r\n", "HTTP/1.1 304 Not Modified\r\n",
				"HTTP/1.1 100 Continue\r\nContent-Length: +0\r\n\r\nHTTP/1.1 204 No Content\r\n")) {
			addIfAccepted(accepted, start + "Content-Length: -0\r\n\r\n");
		}
		assertNone(accepted);
	}

	/**
	 * Guards against a line that is dropped or joined to another field although it is no
	 * field, which hides the field of the length.
	 */
	@Test
	public void responseWithALineThatIsNoFieldIsAFailure() {
		List<String> accepted = new ArrayList<>();
		for (String line : List.of("no field", ": value", " : value", " Content-Length: 12", "\tContent-Length: 12",
				" folded", "\tfolded", " ", "\t", "Name", "\u0000", "Name: a\u0000b", "Name: a\rb", "Name: a\r",
				"\rName: a", "Name: a\u0007", "Name: a\u007f", "Name: a\u000bb", "Name: \u001b[0m",
				"HTTP/1.1 200 OK")) {
			addIfAccepted(accepted, STATUS_LINE + FIELDS + line + "\r\n" + LENGTH + "\r\n" + BODY);
			addIfAccepted(accepted, STATUS_LINE + line + "\r\n" + FIELDS + LENGTH + "\r\n" + BODY);
			addIfAccepted(accepted, STATUS_LINE + FIELDS + LENGTH + line + "\r\n\r\n" + BODY);
		}
		for (String head : List.of("HTTP/1.1 200 OK\n" + LENGTH + "\r\n",
				STATUS_LINE + FIELDS + "Content-Length: 12\n" + "Last: a\r\n\r\n", STATUS_LINE + LENGTH + "\n",
				STATUS_LINE + LENGTH + "\r\r\n")) {
			addIfAccepted(accepted, head + BODY);
		}
		assertNone(accepted);
	}

	/**
	 * Guards against two responses that are read as one since the first broke off.
	 */
	@Test
	public void headWithASecondStatusLineIsAFailure() {
		List<String> accepted = new ArrayList<>();
		for (String second : List.of("HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.0 503 Service Unavailable")) {
			addIfAccepted(accepted, "HTTP/1.1 200 " + second + "\r\n" + LENGTH + "\r\n" + BODY);
			addIfAccepted(accepted, "HTTP/1.1 200 O" + second + "\r\n" + LENGTH + "\r\n" + BODY);
			addIfAccepted(accepted, STATUS_LINE + "Name:" + second + "\r\n" + LENGTH + "\r\n" + BODY);
			addIfAccepted(accepted, STATUS_LINE + "Name: a" + second + "\r\n" + LENGTH + "\r\n" + BODY);
			addIfAccepted(accepted, "HTTP/1.1 103 Early Hints\r\nLink: a" + second + "\r\n" + LENGTH + "\r\n" + BODY);
		}
		assertNone(accepted);
	}

	/**
	 * Guards against names with blanks, control bytes or separators: such a line is
	 * passed on, or hides the length of the body.
	 */
	@Test
	public void responseWithAMalformedFieldNameIsAFailure() {
		List<String> accepted = new ArrayList<>();
		for (char character = 0; character <= HIGHEST_BYTE; character++) {
			boolean separator = TOKEN_SEPARATORS.indexOf(character) >= 0 && character != ':';
			if (character <= ' ' || character >= '\u007f' || separator) {
				for (String name : List.of(character + "Name", "Na" + character + "me", "Name" + character)) {
					addIfAccepted(accepted, STATUS_LINE + FIELDS + name + ": value\r\n" + LENGTH + "\r\n" + BODY);
				}
				for (String name : List.of("Content" + character + "Length", "Content-Length" + character)) {
					addIfAccepted(accepted, STATUS_LINE + FIELDS + name + ": 2\r\n\r\n" + BODY);
				}
			}
		}
		addIfAccepted(accepted, "HTTP/1.1 100 Continue\r\nNa me: value\r\n\r\n" + STATUS_LINE + LENGTH + "\r\n" + BODY);
		assertNone(accepted);
	}

	@Test
	public void responseWithAStatusThatIsNoneIsAFailure() {
		List<String> accepted = new ArrayList<>();
		for (String status : List.of("000", "001", "099", "0", "00", "0200", "20", "2000", "600", "999", "-200", "+200",
				"20x", "2 0", "x", "\u00b200")) {
			addIfAccepted(accepted, "HTTP/1.1 " + status + " OK\r\n" + LENGTH + "\r\n" + BODY);
		}
		assertNone(accepted);
	}

	/**
	 * Guards against a status that HTTP does not have, such as the 000 of a backend
	 * server in trouble, which would reach the caller.
	 */
	@Test
	public void responseWithAStatusOutsideOfHttpIsAFailure() {
		List<String> accepted = new ArrayList<>();
		for (int status = 0; status < 1_000; status++) {
			if (status < 100 || status > 599) {
				addIfAccepted(accepted, String.format("HTTP/1.1 %03d OK\r\n", status) + LENGTH + "\r\n" + BODY);
			}
		}
		assertNone(accepted);
	}

	@Test
	public void responseWithAMalformedStatusLineIsAFailure() {
		List<String> accepted = new ArrayList<>();
		for (String line : List.of("HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1 200",
				"HTTP/1.1 200OK", " HTTP/1.1 200 OK", "http/1.1 200 OK", "HTTP/1 200 OK", "HTTP/1. 200 OK",
				"HTTP/1.10 200 OK", "HTTP/01.1 200 OK", "HTTP/2.0 200 OK", "HTTP/3 200 OK", "HTTP/0.9 200 OK",
				"HTTP 1.1 200 OK", "HTTP/1.1 200 O\u0000K", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 O\u007fK",
				"XHTTP/1.1 200 OK", "\r\nHTTP/1.1 200 OK", "200 OK")) {
			addIfAccepted(accepted, line + "\r\n" + LENGTH + "\r\n" + BODY);
		}
		assertNone(accepted);
	}

	@Test
	public void malformedResponseToHeadIsAFailure() {
		Assert.assertEquals(run("HEAD", STATUS_LINE + LENGTH + "\r\n").get().status(), 200);
		for (String head : List.of(STATUS_LINE + "Content-Length: +12\r\n", STATUS_LINE + LENGTH + CHUNKED,
				STATUS_LINE + "Na me: value\r\n", STATUS_LINE + "Name: a\r\n folded\r\n", "HTTP/1.1 000 OK\r\n",
				STATUS_LINE + "no field\r\n")) {
			Assert.assertTrue(run("HEAD", head + "\r\n").isLeft(), head);
		}
	}

	@Test
	public void responseWithMalformedChunksIsAFailure() {
		List<String> accepted = new ArrayList<>();
		String last = "\r\n0\r\n\r\n";
		for (String size : List.of("", "+c", "-c", " c", "c ", "\tc", "0xc", "c,", "c c", "\"c\"", "g", ";a=b",
				"c\u0000", "c;a\u0000", "c;a\rb", "1000000000000000c", "8000000000000000", "f".repeat(40))) {
			addIfAccepted(accepted, STATUS_LINE + CHUNKED + "\r\n" + size + "\r\n" + BODY + last);
		}
		for (String end : List.of("", "0\r\n\r\n", "\n0\r\n\r\n", "\r\n", "\r\n0", "\r\n0\r", "\r\n0\r\n",
				"\r\n0\r\n\r", "\r\n0\n\r\n", "\r\n0\r\n\n", "\r\n-0\r\n\r\n", "\r\n+0\r\n\r\n", "\r\n 0\r\n\r\n",
				"x\r\n0\r\n\r\n", "\r\n0\r\nno field\r\n\r\n", "\r\n0\r\nNa me: a\r\n\r\n",
				"\r\n0\r\nName: a\r\n folded\r\n\r\n", "\r\n0\r\nName: a\u0000\r\n\r\n", "\r\n0\r\nName: a",
				"\r\n0\r\nName: a\r\n")) {
			addIfAccepted(accepted, STATUS_LINE + CHUNKED + "\r\nc\r\n" + BODY + end);
		}
		assertNone(accepted);
	}

	private void assertSound(String response) {
		Either<BackendFailure, BackendResponse> outcome = run(response);
		Assert.assertTrue(outcome.isRight(), response + " failed: " + outcome);
		Assert.assertEquals(outcome.get().status(), 200, response);
		Assert.assertEquals(new String(outcome.get().body(), StandardCharsets.ISO_8859_1), BODY, response);
	}

	private void addIfAccepted(List<String> accepted, String response) {
		Either<BackendFailure, BackendResponse> outcome = run(response);
		if (outcome.isRight() || outcome.getLeft().kind() != BackendFailure.Kind.BROKEN) {
			accepted.add(printable(response) + " gave " + outcome.map(BackendResponse::status));
		}
	}

	private static void assertNone(List<String> accepted) {
		Assert.assertTrue(accepted.isEmpty(),
				accepted.size() + " responses were accepted:\n" + String.join("\n", accepted));
	}

	private Either<BackendFailure, BackendResponse> run(String response) {
		return run("GET", response);
	}

	private Either<BackendFailure, BackendResponse> run(String method, String response) {
		this.answer = response;
		BackendRequest request = new BackendRequest(method, "/", HeaderFields.of(List.of("Host", "h")), new byte[0],
				(headers) -> ResponseMatch.UNNAMED, (refusal) -> false);
		// Each response has a connection of its own, as the stand-in ends it.
		BackendPool pool = new BackendPool(
				new InetSocketAddress(this.server.getInetAddress(), this.server.getLocalPort()), () -> 0);
		try {
			return new BackendExchange(pool, CallerMemory.ofHeap(), this.timer, MAXIMUM_BODY_BYTES, KeepAlive::millis)
				.run(request, TIMEOUT_MILLIS, new Cancellation());
		}
		finally {
			pool.close();
		}
	}

	private static String printable(String response) {
		StringBuilder printable = new StringBuilder();
		for (char character : response.toCharArray()) {
			boolean visible = character >= ' ' && character < '\u007f';
			printable.append(visible ? String.valueOf(character) : String.format("\\x%02x", (int) character));
		}
		return printable.toString();
	}

	private void accept() {
		while (!this.server.isClosed()) {
			try {
				Socket socket = this.server.accept();
				Thread.ofVirtual().start(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			readHead(socket);
			OutputStream output = socket.getOutputStream();
			output.write(this.answer.getBytes(StandardCharsets.ISO_8859_1));
			socket.shutdownOutput();
			socket.getInputStream().read();
		}
		catch (IOException ex) {
			// The exchange has closed the connection.
		}
	}

	private static void readHead(Socket socket) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = socket.getInputStream().read();
			if (next < 0) {
				return;
			}
			head.append((char) next);
		}
	}

}
