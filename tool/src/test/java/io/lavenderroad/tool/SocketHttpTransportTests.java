package io.lavenderroad.tool;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a malformed response of a control member that the tool reports as the
 * outcome of a command. The stand-in of the member sends each response as it is written
 * here and closes the connection.
 */
public class SocketHttpTransportTests {

	private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";

	private static final String LENGTH = "Content-Length: 2\r\n";

	private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";

	private static final int RESPONSE_TIMEOUT_MILLIS = 200;

	private static final int ENDLESS_PAUSE_MILLIS = 10;

	private final SocketHttpTransport transport = new SocketHttpTransport();

	private ServerSocket server;

	private volatile String answer;

	private volatile boolean endless;

	@BeforeMethod
	void start() throws IOException {
		this.endless = false;
		this.server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
		Thread.ofVirtual().start(this::serveAll);
	}

	@AfterMethod
	void stop() throws IOException {
		this.server.close();
	}

	@Test
	public void soundResponsesAreReturned() throws IOException {
		for (String response : List.of(STATUS_LINE + LENGTH + "\r\n{}", STATUS_LINE + "content-length:02\r\n\r\n{}",
				STATUS_LINE + CHUNKED + "\r\n2;a=b\r\n{}\r\n0\r\nName: a\r\n\r\n", STATUS_LINE + "\r\n{}")) {
			this.answer = response;
			Assert.assertEquals(send(), new HttpTransport.Response(200, "{}"), response);
		}
	}

	@Test
	public void malformedResponseIsALostResponse() {
		List<String> accepted = new ArrayList<>();
		for (String head : List.of("HTTP/1.1 000 OK\r\n" + LENGTH, "HTTP/1.1 099 OK\r\n" + LENGTH,
				"HTTP/1.1 600 OK\r\n" + LENGTH, "HTTP/1.1 +20 OK\r\n" + LENGTH, "HTTP/1.1 20 OK\r\n" + LENGTH,
				"HTTP/2.0 200 OK\r\n" + LENGTH, " " + STATUS_LINE + LENGTH, STATUS_LINE + "Content-Length: +2\r\n",
				STATUS_LINE + "Content-Length: -0\r\n", STATUS_LINE + "Content-Length: 2, 2\r\n",
				STATUS_LINE + "Content-Length: 2 2\r\n", STATUS_LINE + "Content-Length:\r\n",
				STATUS_LINE + "Content-Length: x\r\n", STATUS_LINE + LENGTH + LENGTH, STATUS_LINE + LENGTH + CHUNKED,
				STATUS_LINE + "Content Length: 2\r\n", STATUS_LINE + "Content-Length : 2\r\n",
				STATUS_LINE + "Content-Length\u0001: 2\r\n", STATUS_LINE + "Na me: a\r\n" + LENGTH,
				STATUS_LINE + "Name\u0000: a\r\n" + LENGTH, STATUS_LINE + "Name: a\u0000\r\n" + LENGTH,
				STATUS_LINE + "no field\r\n" + LENGTH, STATUS_LINE + ": a\r\n" + LENGTH,
				STATUS_LINE + "Name: a\r\n Content-Length: 2\r\n")) {
			addIfAccepted(accepted, head + "\r\n{}");
		}
		for (String body : List.of("+2\r\n{}\r\n0\r\n\r\n", " 2\r\n{}\r\n0\r\n\r\n", "0x2\r\n{}\r\n0\r\n\r\n",
				"2\r\n{}\r\n-0\r\n\r\n", "2\r\n{}", "2\r\n{}\r\n", "2\r\n{}\r\n0\r\nno field\r\n\r\n")) {
			addIfAccepted(accepted, STATUS_LINE + CHUNKED + "\r\n" + body);
		}
		Assert.assertTrue(accepted.isEmpty(), accepted.size() + " accepted:\n" + String.join("\n", accepted));
	}

	/**
	 * Guards against a response that arrives byte by byte and never ends.
	 */
	@Test
	public void slowResponseIsGivenUp() {
		this.answer = STATUS_LINE + "Name: ";
		this.endless = true;
		Assert.assertThrows(SocketTimeoutException.class,
				() -> new SocketHttpTransport(RESPONSE_TIMEOUT_MILLIS).send(address(), "GET", "/", Optional.of("{}")));
	}

	@Test
	public void unreachableMemberGotNoRequest() throws IOException {
		ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
		unused.close();
		Assert.assertThrows(ConnectException.class,
				() -> this.transport.send("127.0.0.1:" + unused.getLocalPort(), "POST", "/", Optional.of("{}")));
	}

	private void addIfAccepted(List<String> accepted, String response) {
		this.answer = response;
		try {
			accepted.add(response.replace("\r\n", "|") + " gave " + send());
		}
		catch (IOException ex) {
			// The response counts as lost.
		}
		catch (RuntimeException ex) {
			accepted.add(response.replace("\r\n", "|") + " gave " + ex);
		}
	}

	private HttpTransport.Response send() throws IOException {
		return this.transport.send(address(), "POST", "/", Optional.of("{}"));
	}

	private String address() {
		return "127.0.0.1:" + this.server.getLocalPort();
	}

	private void serveAll() {
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
			readRequest(socket);
			socket.getOutputStream().write(this.answer.getBytes(StandardCharsets.ISO_8859_1));
			while (this.endless) {
				socket.getOutputStream().write('a');
				Thread.sleep(ENDLESS_PAUSE_MILLIS);
			}
			socket.shutdownOutput();
			socket.getInputStream().read();
		}
		catch (IOException ex) {
			// The transport has closed the connection.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void readRequest(Socket socket) throws IOException {
		StringBuilder request = new StringBuilder();
		while (!request.toString().endsWith("\r\n\r\n{}")) {
			int next = socket.getInputStream().read();
			if (next < 0) {
				return;
			}
			request.append((char) next);
		}
	}

}
