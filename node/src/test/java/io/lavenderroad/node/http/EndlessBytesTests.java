package io.lavenderroad.node.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import io.vavr.control.Either;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against endless input from a backend server or a caller, which would exhaust the
 * memory of the node or occupy the request until its deadline.
 */
public class EndlessBytesTests {

	private static final long TIMEOUT_MILLIS = 60_000;

	private static final int MAXIMUM_RESPONSE_BYTES = 64 * 1024;

	/**
	 * What the server writes before it stops waiting for the connection to be closed, far
	 * more than all limits and socket buffers together.
	 */
	private static final int MAXIMUM_WRITTEN_BYTES = 32 * 1024 * 1024;

	private ScheduledExecutorService timer;

	@BeforeMethod
	void start() {
		this.timer = Executors.newSingleThreadScheduledExecutor();
	}

	@AfterMethod
	void stop() {
		this.timer.shutdownNow();
	}

	@DataProvider
	Object[][] answers() {
		String chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
		return new Object[][] { { "a status line", "", "HTTP/1.1 200 OK " },
				{ "one header", "HTTP/1.1 200 OK\r\nA: ", "a" }, { "headers", "HTTP/1.1 200 OK\r\n", "A: a\r\n" },
				{ "empty lines", "", "\r\n" }, { "lines that are no answer", "", "nonsense\r\n" },
				{ "interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n" }, { "a chunk size", chunked, "0" },
				{ "a chunk extension", chunked + "5;", "a" }, { "chunks", chunked, "5\r\nhello\r\n" },
				{ "trailers", chunked + "0\r\n", "A: a\r\n" },
				{ "a body without length", "HTTP/1.1 200 OK\r\n\r\n", "a" } };
	}

	@Test(dataProvider = "answers")
	public void endlessResponseIsAbortedAndItsConnectionClosed(String part, String start, String endless)
			throws Exception {
		CompletableFuture<Boolean> closed = new CompletableFuture<>();
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			Thread.ofVirtual().start(() -> serve(server, start, endless, closed));
			BackendPool pool = new BackendPool(new InetSocketAddress(server.getInetAddress(), server.getLocalPort()),
					() -> 0);
			BackendExchange exchange = new BackendExchange(pool, CallerMemory.ofHeap(), this.timer,
					MAXIMUM_RESPONSE_BYTES, KeepAlive::millis);
			Either<BackendFailure, BackendResponse> answer = exchange.run(
					new BackendRequest("GET", "/", HeaderFields.of(List.of("Host", "h")), new byte[0],
							(headers) -> ResponseMatch.UNNAMED, (response) -> false),
					TIMEOUT_MILLIS, new Cancellation());
			Assert.assertTrue(answer.isLeft(), part + " without end was accepted as a response");
			Assert.assertEquals(answer.getLeft().kind(), BackendFailure.Kind.BROKEN, part);
			Assert.assertTrue(closed.get(), part + " without end was read to the last byte");
		}
	}

	@Test
	public void bodiesOfAllConnectionsShareOneMemoryBudget() throws IOException {
		CallerMemory memory = new CallerMemory(1_000_000);
		Runnable secondBody = () -> {
			Assert.assertThrows(CallerMemoryExhaustedException.class, () -> BoundedBody.read(endless(() -> {
			}), 4_000_000, memory.open()));
			Assert.assertTrue(memory.usedBytes() <= 600_000, "a failed body releases its memory");
		};
		Assert.assertNull(BoundedBody.read(endless(secondBody), 600_000, memory.open()),
				"the limit of a single body applies first");
		Assert.assertEquals(memory.usedBytes(), 0);
	}

	private static InputStream endless(Runnable afterHalfAMegabyte) {
		return new InputStream() {

			private int sent;

			@Override
			public int read() {
				return 'a';
			}

			@Override
			public int read(byte[] target, int offset, int length) {
				boolean belowHalfAMegabyte = this.sent < 500_000;
				this.sent += length;
				if (belowHalfAMegabyte && this.sent >= 500_000) {
					afterHalfAMegabyte.run();
				}
				return length;
			}

		};
	}

	private static void serve(ServerSocket server, String start, String endless, CompletableFuture<Boolean> closed) {
		try (Socket socket = server.accept()) {
			OutputStream output = socket.getOutputStream();
			output.write(start.getBytes(StandardCharsets.ISO_8859_1));
			byte[] block = endless.repeat(8 * 1024 / endless.length()).getBytes(StandardCharsets.ISO_8859_1);
			for (int written = 0; written < MAXIMUM_WRITTEN_BYTES; written += block.length) {
				output.write(block);
			}
			closed.complete(false);
		}
		catch (IOException ex) {
			closed.complete(true);
		}
	}

}
