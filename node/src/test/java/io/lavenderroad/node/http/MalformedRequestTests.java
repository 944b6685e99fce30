package io.lavenderroad.node.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import io.lavenderroad.model.CallerLimits;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against malformed requests that run. Two recipients may read such a request in
 * different ways, and a request may be hidden in another one.
 */
public class MalformedRequestTests {

	private static final CallerLimits LIMITS = new CallerLimits(16_384, 1_000, 3_000, 15_000);

	private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";

	private static final String START = "POST /a HTTP/1.1\r\nHost: h\r\n";

	private static final String LENGTH = "Content-Length: 2\r\n";

	private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";

	private final AtomicInteger runs = new AtomicInteger();

	private HttpListener listener;

	@BeforeMethod
	void start() throws IOException {
		this.runs.set(0);
		this.listener = HttpListener.builder().limits(() -> LIMITS).handler((request) -> {
			this.runs.incrementAndGet();
			return new OutgoingResponse(200, HeaderFields.NONE, new byte[0], true);
		}).bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
		this.listener.start();
	}

	@AfterMethod
	void stop() {
		this.listener.close();
	}

	@Test
	public void malformedHeadsAreRefused() throws IOException {
		List<String> heads = new ArrayList<>();
		for (char character = 0; character < 256; character++) {
			if (character != ':' && !isTokenCharacter(character)) {
				heads.add(START + "Na" + character + "me: a\r\n" + LENGTH);
				heads.add(START + character + "Name: a\r\n" + LENGTH);
				heads.add(START + "Name" + character + ": a\r\n" + LENGTH);
				heads.add("PO" + character + "ST /a HTTP/1.1\r\nHost: h\r\n" + LENGTH);
			}
			if (character < ' ' && character != '\t' || character == 0x7f) {
				heads.add(START + "Name: a" + character + "b\r\n" + LENGTH);
				heads.add(START + "Name: a" + character + "\r\n" + LENGTH);
				heads.add("POST /a" + character + "b HTTP/1.1\r\nHost: h\r\n" + LENGTH);
			}
		}
		heads.add("POST /a HTTP/1.1\r\n folded: a\r\nHost: h\r\n" + LENGTH);
		heads.add(START + "Name: a\r\n folded\r\n" + LENGTH);
		heads.add(START + "Name: a\r\n\tfolded\r\n" + LENGTH);
		heads.add(START + "Host: other\r\n" + LENGTH);
		heads.add(START + ": no name\r\n" + LENGTH);
		heads.add(START + "no colon\r\n" + LENGTH);
		for (String line : List.of("POST  /a HTTP/1.1", "POST /a  HTTP/1.1", " POST /a HTTP/1.1", "POST /a HTTP/1.1 ",
				"POST\t/a HTTP/1.1", "POST /a", "POST /a HTTP/2.0", "POST /a HTTP/0.9", "POST /a HTTP/1.10",
				"POST /a http/1.1", "POST /a HTTP/01.1", "POST /a b HTTP/1.1", "/a HTTP/1.1")) {
			heads.add(line + "\r\nHost: h\r\n" + LENGTH);
		}
		List<String> wrong = new ArrayList<>();
		for (String head : heads) {
			addUnlessRefused(head + "\r\nab", wrong);
		}
		addUnlessRefused((START + LENGTH + "\r\n").replace("\r\n", "\n") + "ab", wrong);
		Assert.assertTrue(wrong.isEmpty(), String.join("\n", wrong));
		Assert.assertEquals(this.runs.get(), 0);
	}

	@Test
	public void malformedChunksAreRefused() throws IOException {
		List<String> bodies = new ArrayList<>();
		for (String size : List.of("+2", "-2", " 2", "2 ", "\t2", "0x2", "2h", "2L", "2.0", "", "100000002",
				"-FFFFFFFE", "+100000002", "-100000002", "10000000000000002", "FFFFFFFFFFFFFFFF", "2,2", "2\u00002",
				"\u00b2")) {
			bodies.add(size + "\r\nab\r\n0\r\n\r\n");
		}
		for (String ending : List.of("2\nab\r\n0\r\n\r\n", "2\r\nab\n0\r\n\r\n", "2\r\nab\r\n0\n\r\n",
				"2\r\nab\r\n0\r\n\n", "2\r\nab0\r\n\r\n", "2\r\nab\r\n+0\r\n\r\n", "2\r\nab\r\n0\r\nNa me: a\r\n\r\n",
				"2\r\nab\r\n0\r\nName: \u0000\r\n\r\n", "2\r\nab\r\n0\r\nName: a\r\n folded\r\n\r\n")) {
			bodies.add(ending);
		}
		List<String> wrong = new ArrayList<>();
		for (String body : bodies) {
			addUnlessRefused(START + CHUNKED + body, wrong);
		}
		Assert.assertTrue(wrong.isEmpty(), String.join("\n", wrong));
		Assert.assertEquals(this.runs.get(), 0);
	}

	// A host that cannot be read was cut at its last colon and routed by what was left.
	@Test
	public void unreadableHostsAreRefused() throws IOException {
		List<String> wrong = new ArrayList<>();
		for (String host : List.of("h:x", "h:65536", "h:80:80", "a b", "u@h", "::1", "[::1", "[::1]x", "h%", ":80",
				"\u00e4")) {
			addUnlessRefused("POST /a HTTP/1.1\r\nHost: " + host + "\r\n" + LENGTH + "\r\nab", wrong);
			addUnlessRefused("POST http://" + host + "/a HTTP/1.1\r\n" + LENGTH + "\r\nab", wrong);
		}
		for (String target : List.of("http://h:8443/a", "http://other/a", "https://h:80/a", "http://h:/a")) {
			String host = target.equals("http://h:/a") ? "h:81" : "h";
			addUnlessRefused("POST " + target + " HTTP/1.1\r\nHost: " + host + "\r\n" + LENGTH + "\r\nab", wrong);
		}
		Assert.assertTrue(wrong.isEmpty(), String.join("\n", wrong));
		Assert.assertEquals(this.runs.get(), 0);
	}

	/**
	 * Guards against strictness that refuses what clients inside the limits send.
	 */
	@Test
	public void legalRequestsRun() throws IOException {
		String fields = "a:\r\n".repeat(4_000);
		List<String> legal = List.of(START + LENGTH + "\r\nab", START + fields + LENGTH + "\r\nab",
				START + "Name: \u00e4\t b \r\nEmpty:\r\n" + LENGTH + "\r\nab", "\r\n" + START + LENGTH + "\r\nab",
				START + CHUNKED + "2;name=value\r\nab\r\n0\r\nTrailer: a\r\n\r\n",
				START + CHUNKED + "02\r\nab\r\n0\r\n\r\n", "GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n",
				"GET http://H:80/a HTTP/1.1\r\nHost: h\r\n\r\n", "GET https://h/a HTTP/1.1\r\nHost: h\r\n\r\n",
				"GET http://h/a HTTP/1.1\r\n\r\n", "GET /a HTTP/1.1\r\nHost: [::1]:8443\r\n\r\n",
				"GET /a HTTP/1.1\r\nHost:\r\n\r\n", "GET /a HTTP/1.0\r\n\r\n");
		for (String request : legal) {
			Assert.assertEquals(status(request), "200", request);
		}
		Assert.assertEquals(this.runs.get(), legal.size());
	}

	private void addUnlessRefused(String request, List<String> wrong) throws IOException {
		String status = status(request);
		if (!status.equals("400") && !status.equals("413")) {
			wrong.add(request.replace("\r", "\\r").replace("\n", "\\n") + " gave " + status);
		}
	}

	private String status(String request) throws IOException {
		try (Socket socket = new Socket()) {
			socket.connect(this.listener.address());
			socket.setSoTimeout(30_000);
			socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
			socket.shutdownOutput();
			String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
			return answer.isEmpty() ? "nothing" : answer.split(" ")[1];
		}
	}

	private static boolean isTokenCharacter(char character) {
		return character >= 'a' && character <= 'z' || character >= 'A' && character <= 'Z'
				|| character >= '0' && character <= '9' || TOKEN_PUNCTUATION.indexOf(character) >= 0;
	}

}
