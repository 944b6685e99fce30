package io.lavenderroad.node;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.node.http.BackendExchange;
import io.lavenderroad.node.http.BackendPool;
import io.lavenderroad.node.http.CallerMemory;
import io.lavenderroad.node.http.Cancellation;
import io.lavenderroad.node.http.KeepAlive;
import io.lavenderroad.policy.calls.CallOrigin;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against the beginning of an earlier answer that a faulty backend server writes
 * in front of its next answer on a kept connection: read as one, the two made an order
 * run at a second backend server, or told its caller "not run" for an order that had run.
 */
public class CutEarlierAnswerTests {

	private static final String EARLIER = "order-1";

	private static final String LATER = "order-2";

	private static final int CASES_AT_A_TIME = 24;

	private static final long PIECE_PAUSE_NANOS = 300_000;

	private static final int TIMEOUT_MILLIS = 400;

	private ServerSocket server;

	private ScheduledExecutorService timer;

	private final Map<String, Answers> answers = new ConcurrentHashMap<>();

	private final AtomicInteger cases = new AtomicInteger();

	private final Queue<String> wrong = new ConcurrentLinkedQueue<>();

	@BeforeMethod
	void start() throws IOException {
		this.wrong.clear();
		this.timer = Executors.newSingleThreadScheduledExecutor();
		this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		Thread.ofVirtual().start(this::accept);
	}

	@AfterMethod(alwaysRun = true)
	void stop() throws IOException {
		this.server.close();
		this.timer.shutdownNow();
	}

	@DataProvider
	Object[][] earlierAnswers() {
		String id = "Id: " + EARLIER + "\r\n";
		return new Object[][] { { "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 9\r\n\r\ndone: one" },
				{ "HTTP/1.1 503 Service Unavailable\r\nNot-Run: full\r\nLoad: 12,48\r\n" + id
						+ "Content-Length: 0\r\n\r\n" },
				{ "HTTP/1.1 503 Service Unavailable\r\n" + id + "Not-Run: full\r\nContent-Length: 5\r\n\r\nfull\n" },
				{ "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 5\r\n" + id + "\r\nfull\n" },
				{ "HTTP/1.1 200 \r\n" + id + "Transfer-Encoding: chunked\r\n\r\n5\r\ndone:\r\n4\r\n one\r\n0\r\n"
						+ "Trailer: a\r\n\r\n" },
				{ "HTTP/1.0 421 Misdirected: Request\r\nNot-Run: other\r\n" + id + "Content-Length: 0\r\n\r\n" },
				{ "HTTP/1.1 103 Early Hints\r\nNot-Run: full\r\n\r\nHTTP/1.1 500 \r\n" + id
						+ "Content-Length: 0\r\n\r\n" },
				{ "HTTP/1.1 503 Service Unavailable\r\nNot-Run: full\r\nContent-Length: 0\r\n\r\n" } };
	}

	@Test(dataProvider = "earlierAnswers")
	public void cutAnswerNeverTurnsIntoNotRunOrAForeignAnswer(String earlier) throws InterruptedException {
		List<String> laterAnswers = List.of(ran("HTTP/1.1 200 OK\r\n", "Content-Length: 10\r\n\r\ndone: two!"),
				ran("HTTP/1.1 500 Internal\r\n",
						"Transfer-Encoding: chunked\r\n\r\n5\r\ndone:\r\n5\r\n two!\r\n0\r\n\r\n"),
				ran("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n", "Content-Length: 10\r\n\r\ndone: two!"));
		forEachCut(earlier, (beginning) -> laterAnswers.forEach((later) -> {
			checkRan(earlier, List.of(beginning + later), later);
			checkRan(earlier, pieces(beginning, later), later);
		}));
		Assert.assertTrue(this.wrong.isEmpty(), this.wrong.size() + " wrong:\n" + String.join("\n", this.wrong));
	}

	@Test(dataProvider = "earlierAnswers")
	public void cutAnswerNeverTurnsARefusalIntoAnAnswer(String earlier) throws InterruptedException {
		String refusal = ran("HTTP/1.1 503 Service Unavailable\r\nNot-Run: full\r\n", "Content-Length: 0\r\n\r\n");
		forEachCut(earlier, (beginning) -> {
			CallAnswer answer = answerAfter(earlier, List.of(beginning + refusal));
			if (answer.verdict() == ExecutionVerdict.RAN) {
				this.wrong.add(describe(beginning, answer));
			}
		});
		Assert.assertTrue(this.wrong.isEmpty(), this.wrong.size() + " wrong:\n" + String.join("\n", this.wrong));
	}

	// A refusal that does not name the order may be that of another one.
	@Test
	public void refusalThatNamesNoRequestIsNoProof() {
		String refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: full\r\nContent-Length: 0\r\n\r\n";
		String named = "HTTP/1.1 200 OK\r\nId: " + EARLIER + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
		CallAnswer answer = answerAfter(named, List.of(refusal));
		Assert.assertEquals(answer.verdict(), ExecutionVerdict.MAY_HAVE_RUN);
		Assert.assertEquals(answer.status(), HttpStatus.BAD_GATEWAY);
		CallAnswer own = answerAfter(named, List.of(refusal.replace("Not-Run", "Id: " + LATER + "\r\nNot-Run")));
		Assert.assertEquals(own.verdict(), ExecutionVerdict.NOT_RUN);
	}

	private static void forEachCut(String earlier, Consumer<String> check) throws InterruptedException {
		try (ExecutorService executor = Executors.newFixedThreadPool(CASES_AT_A_TIME)) {
			List<Future<?>> checks = new ArrayList<>();
			for (int cut = 0; cut <= earlier.length(); cut++) {
				String beginning = earlier.substring(0, cut);
				checks.add(executor.submit(() -> check.accept(beginning)));
			}
			for (Future<?> checked : checks) {
				checked.get();
			}
		}
		catch (ExecutionException ex) {
			throw new AssertionError(ex);
		}
	}

	private void checkRan(String earlier, List<String> pieces, String later) {
		CallAnswer answer = answerAfter(earlier, pieces);
		boolean own = answer.verdict() == ExecutionVerdict.RAN && answer.status() == status(later)
				&& new String(answer.body(), StandardCharsets.ISO_8859_1).equals("done: two!")
				&& answer.headers().contains(LATER) && !answer.headers().contains(EARLIER);
		boolean alone = String.join("", pieces).equals(later);
		if (!own && (alone || answer.verdict() != ExecutionVerdict.MAY_HAVE_RUN)) {
			this.wrong.add(describe(String.join("|", pieces), answer));
		}
	}

	private static List<String> pieces(String beginning, String later) {
		Random random = new Random(beginning.length());
		List<String> pieces = new ArrayList<>(List.of(beginning));
		int cut = 1 + random.nextInt(later.length() - 1);
		pieces.add(later.substring(0, cut));
		pieces.add(later.substring(cut));
		return pieces;
	}

	private static String ran(String first, String rest) {
		return first + "Id: " + LATER + "\r\n" + rest;
	}

	private static int status(String later) {
		return later.contains(" 500 ") ? 500 : 200;
	}

	private static String describe(String beginning, CallAnswer answer) {
		return answer.verdict() + " " + answer.status() + " " + answer.reason() + " after "
				+ beginning.replace("\r", "\\r").replace("\n", "\\n");
	}

	private CallAnswer answerAfter(String earlier, List<String> later) {
		String path = "/" + this.cases.incrementAndGet() + "/";
		this.answers.put(path, new Answers(earlier, later));
		InetSocketAddress address = (InetSocketAddress) this.server.getLocalSocketAddress();
		try (BackendPool pool = new BackendPool(address, () -> 0)) {
			BackendClient client = new BackendClient(
					new BackendExchange(pool, CallerMemory.ofHeap(), this.timer, 1_000, KeepAlive::millis),
					new NamingDialect(), "h", () -> false);
			call(client, path, EARLIER);
			return call(client, path, LATER);
		}
	}

	private static CallAnswer call(BackendClient client, String path, String id) {
		CallMetadata metadata = new CallMetadata(id, "counter", true, CallOrigin.CALLER, 0, 100, "");
		CallRequest request = new CallRequest(1, "catalogue", "v1", "route", "POST", path + id, List.of("Id", id),
				new byte[0], "", "", 1_000, 0, metadata);
		return client.run(request, "", TIMEOUT_MILLIS, new Cancellation(), () -> {
		});
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
			socket.setTcpNoDelay(true);
			String head = readHead(socket);
			while (!head.isEmpty()) {
				String target = head.split(" ")[1];
				Answers scripted = this.answers.get(target.substring(0, target.lastIndexOf('/') + 1));
				write(socket, target.endsWith(EARLIER) ? List.of(scripted.earlier()) : scripted.later());
				head = readHead(socket);
			}
		}
		catch (IOException ex) {
			// The client has closed the connection.
		}
	}

	private static void write(Socket socket, List<String> pieces) throws IOException {
		OutputStream stream = socket.getOutputStream();
		for (int index = 0; index < pieces.size(); index++) {
			if (index > 0) {
				LockSupport.parkNanos(PIECE_PAUSE_NANOS);
			}
			stream.write(pieces.get(index).getBytes(StandardCharsets.ISO_8859_1));
		}
	}

	private static String readHead(Socket socket) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = socket.getInputStream().read();
			if (next < 0) {
				return "";
			}
			head.append((char) next);
		}
		return head.toString();
	}

	/**
	 * What the backend server writes.
	 *
	 * @param earlier answer to the first order
	 * @param later pieces of what follows the second order
	 */
	private record Answers(String earlier, List<String> later) {

	}

}
