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
 * Guards against bytes that never end, from a backend server or a caller, which would
 * fill the memory of the node or hold the request until its deadline.
 */
public class EndlessBytesTests {

	private static final long LATER_MILLIS = 60_000;

	private static final int LARGEST_ANSWER_BYTES = 64 * 1024;

	/**
	 * What the writer sends before it gives up to be stopped, far more than all limits
	 * and socket buffers together.
	 */
	private static final int MOST_WRITTEN_BYTES = 32 * 1024 * 1024;

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
	public void answerWithoutEndIsBrokenOffAndItsConnectionClosed(String what, String start, String endless)
			throws Exception {
		CompletableFuture<Boolean> closed = new CompletableFuture<>();
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			Thread.ofVirtual().start(() -> serve(server, start, endless, closed));
			BackendPool pool = new BackendPool(new InetSocketAddress(server.getInetAddress(), server.getLocalPort()),
					() -> 0);
			BackendExchange exchange = new BackendExchange(pool, this.timer, LARGEST_ANSWER_BYTES, KeepAlive::millis);
			Either<BackendFailure, BackendResponse> answer = exchange.run(
					new BackendRequest("GET", "/", HeaderFields.of(List.of("Host", "h")), new byte[0], (any) -> true),
					LATER_MILLIS, new Cancellation());
			Assert.assertTrue(answer.isLeft(), what + " without end was taken for an answer");
			Assert.assertEquals(answer.getLeft().kind(), BackendFailure.Kind.BROKEN, what);
			Assert.assertTrue(closed.get(), what + " without end was read to the last byte");
		}
	}

	@Test
	public void bodiesOnManyConnectionsShareTheirMemory() throws IOException {
		BodyMemory memory = new BodyMemory(1_000_000);
		Runnable secondBody = () -> {
			Assert.assertThrows(BodyMemoryException.class, () -> memory.read(endless(() -> {
			}), 4_000_000));
			Assert.assertTrue(memory.takenBytes() <= 600_000, "a body that failed gives its memory back");
		};
		Assert.assertNull(memory.read(endless(secondBody), 600_000), "the limit of one body goes first");
		Assert.assertEquals(memory.takenBytes(), 0);
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
				boolean before = this.sent < 500_000;
				this.sent += length;
				if (before && this.sent >= 500_000) {
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
			for (int written = 0; written < MOST_WRITTEN_BYTES; written += block.length) {
				output.write(block);
			}
			closed.complete(false);
		}
		catch (IOException ex) {
			closed.complete(true);
		}
	}

}
