package io.lavenderroad.node.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.lavenderroad.model.CallerLimits;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against callers that make the process hold more than its budget, and against a
 * budget that drops callers that it could keep waiting or that still read.
 */
public class CallerMemoryTests {

	private static final int WAIT_SECONDS = 30;

	@Test
	public void readingWaitsForReleasedMemory() throws Exception {
		CallerMemory memory = new CallerMemory(1_000);
		CompletableFuture<Void> closed = new CompletableFuture<>();
		CallerMemory.Account holding = memory.open(() -> closed.complete(null));
		holding.reserve(900);
		CallerMemory.Account waiting = memory.open(() -> closed.complete(null));
		CompletableFuture<Void> reserved = reserve(waiting, 500);
		holding.release(900);
		reserved.get(WAIT_SECONDS, TimeUnit.SECONDS);
		Assert.assertFalse(closed.isDone(), "released memory was enough");
		Assert.assertEquals(memory.usedBytes(), 500);
	}

	@Test
	public void connectionThatHoldsMostIsClosedFirst() throws Exception {
		CallerMemory memory = new CallerMemory(1_000);
		CompletableFuture<Void> largestClosed = new CompletableFuture<>();
		CallerMemory.Account[] largest = new CallerMemory.Account[1];
		largest[0] = memory.open(() -> {
			largest[0].end();
			largestClosed.complete(null);
		});
		largest[0].addAnswer(600);
		CallerMemory.Account small = memory.open(() -> Assert.fail("the smaller one was closed"));
		small.addAnswer(300);
		reserve(memory.open(() -> Assert.fail("the waiting one was closed")), 200).get(WAIT_SECONDS, TimeUnit.SECONDS);
		// The closing thread may still run when its memory is free.
		largestClosed.get(WAIT_SECONDS, TimeUnit.SECONDS);
		Assert.assertFalse(small.isClosing());
		Assert.assertEquals(memory.usedBytes(), 500);
	}

	@Test
	public void answersFarOverTheBudgetCloseConnectionsAtOnce() throws Exception {
		CallerMemory memory = new CallerMemory(1_000);
		List<CompletableFuture<Void>> closed = new ArrayList<>();
		for (long bytes : new long[] { 100, 200, 300, 700 }) {
			CompletableFuture<Void> future = new CompletableFuture<>();
			closed.add(future);
			memory.open(() -> future.complete(null)).addAnswer(bytes);
		}
		closed.get(3).get(WAIT_SECONDS, TimeUnit.SECONDS);
		Assert.assertFalse(closed.get(0).isDone());
		Assert.assertFalse(closed.get(1).isDone());
		Assert.assertFalse(closed.get(2).isDone());
	}

	/**
	 * Guards against slow answers of a backend server that hold up the requests of all
	 * callers although there is room for them.
	 */
	@Test
	public void callersDoNotWaitBehindAnswersThatWaitForOtherAnswers() throws Exception {
		CallerMemory memory = new CallerMemory(1_000);
		memory.open().reserve(400);
		CallerMemory.Account second = memory.open();
		CompletableFuture<Void> answer = reserve(second, 200);
		Thread.sleep(100);
		CallerMemory.Account caller = memory.open(() -> Assert.fail("the caller was closed"));
		reserve(caller, 100).get(WAIT_SECONDS, TimeUnit.SECONDS);
		Assert.assertFalse(answer.isDone(), "the caller waited until the answer had given up");
		second.cancel();
	}

	@Test
	public void whatCanNeverFitIsRefusedAtOnce() {
		CallerMemory memory = new CallerMemory(1_000);
		Assert.assertThrows(CallerMemoryExhaustedException.class, () -> memory.open().reserve(1_001));
		Assert.assertEquals(memory.usedBytes(), 0);
	}

	@Test
	public void connectionsFollowFromHeapAndDescriptors() {
		long mebibyte = 1024 * 1024;
		Assert.assertEquals(ConnectionLimit.of(96 * mebibyte, 4_100), 2_000);
		Assert.assertEquals(ConnectionLimit.of(24 * mebibyte, 4_100), 512);
		Assert.assertEquals(ConnectionLimit.of(96 * mebibyte, 1_024), 512);
		Assert.assertEquals(ConnectionLimit.descriptors(null, "Max open files            1024     4096     files \n"),
				1_024);
		Assert.assertEquals(ConnectionLimit.descriptors("odd", ""), Long.MAX_VALUE);
		Assert.assertEquals(ConnectionLimit.descriptors("4100", "Max open files  200  200  files \n"), 4_100);
	}

	/**
	 * Guards against a reader that takes nothing and keeps its answer in memory for ever,
	 * and against the loss of one that reads slowly.
	 */
	@Test
	public void readerWithoutProgressIsClosedAndSlowReaderIsServed() throws Exception {
		byte[] body = new byte[16 * 1024 * 1024];
		try (HttpListener listener = listener(body, 1_500, 100);
				Socket stalled = connect(listener);
				Socket slow = connect(listener)) {
			long read = 0;
			byte[] block = new byte[512 * 1024];
			for (int count = 0; count >= 0; count = slow.getInputStream().read(block)) {
				read += count;
				Thread.sleep(20);
			}
			Assert.assertTrue(read > body.length, "the slow reader got " + read + " bytes");
			await(() -> listener.refusals().count(CallerRefusals.Reason.STALLED_READER) == 1);
			await(() -> listener.heldBytes() == 0);
			Assert.assertTrue(stalled.getInputStream().readAllBytes().length < body.length);
		}
	}

	/**
	 * Guards against idle callers that keep others out, and against accepting more
	 * connections than the process has descriptors for.
	 */
	@Test
	public void newCallerTakesThePlaceOfTheOneThatIsIdleForLongest() throws Exception {
		try (HttpListener listener = listener(new byte[0], 30_000, 2)) {
			List<Socket> idle = new ArrayList<>();
			for (int index = 0; index < 2; index++) {
				idle.add(new Socket(listener.address().getAddress(), listener.address().getPort()));
				await(() -> listener.readingConnections() == idle.size());
			}
			try (Socket later = connect(listener)) {
				Assert.assertTrue(later.getInputStream().read() >= 0, "the later caller is served");
			}
			Assert.assertTrue(listener.refusals().count(CallerRefusals.Reason.IDLE_AT_LIMIT) >= 1);
			for (Socket socket : idle) {
				socket.close();
			}
		}
	}

	private static HttpListener listener(byte[] body, long stalledMillis, int connections) throws IOException {
		HttpListener listener = HttpListener.builder()
			.limits(() -> new CallerLimits(16_384, 1_000, 3_000, 15_000))
			.handler((request) -> new OutgoingResponse(200, HeaderFields.NONE, body, true))
			.stalledReaderMillis(stalledMillis)
			.maximumConnections(connections)
			.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
		listener.start();
		return listener;
	}

	private static Socket connect(HttpListener listener) throws IOException {
		Socket socket = new Socket();
		socket.setReceiveBufferSize(64 * 1024);
		socket.connect(listener.address());
		socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
		socket.getOutputStream().write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
		return socket;
	}

	private static CompletableFuture<Void> reserve(CallerMemory.Account account, long bytes) {
		CompletableFuture<Void> done = new CompletableFuture<>();
		Thread.ofVirtual().start(() -> {
			try {
				account.reserve(bytes);
				done.complete(null);
			}
			catch (CallerMemoryExhaustedException ex) {
				done.completeExceptionally(ex);
			}
		});
		return done;
	}

	private static void await(BooleanSupplier condition) {
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
		while (!condition.getAsBoolean() && System.nanoTime() < end) {
			Thread.onSpinWait();
		}
		Assert.assertTrue(condition.getAsBoolean());
	}

}
