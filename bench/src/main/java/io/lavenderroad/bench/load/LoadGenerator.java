package io.lavenderroad.bench.load;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.lavenderroad.bench.history.HistoryEvent;
import io.lavenderroad.core.Clock;
import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.model.LatencyHistogram;

/**
 * Sends calls of several kinds at a constant rate to randomly chosen nodes. Each call has
 * an id that the answer must repeat. A non-idempotent call that was not answered as run
 * is retried once with the same idempotency key through a randomly chosen node, as a
 * customer would do.
 */
public final class LoadGenerator implements AutoCloseable {

	private static final int NO_STATUS = 0;

	private static final int STATUS_BAD_GATEWAY = 502;

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	private static final double NANOS_PER_MILLI = 1e6;

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);

	private static final int CUSTOMERS = 20;

	private static final int RETRIES = 1;

	private final Supplier<List<String>> nodes;

	private final List<CallKind> kinds;

	private final int callsPerSecond;

	private final Consumer<HistoryEvent> history;

	private final Clock clock;

	private final Random random;

	private final String prefix;

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofSeconds(2))
		.build();

	private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

	private final AtomicLong nextCall = new AtomicLong();

	private final Map<String, String> keysByCall = new ConcurrentHashMap<>();

	private final LongAdder broken = new LongAdder();

	private volatile Counts counts = new Counts();

	private volatile boolean running;

	private Thread sender;

	/**
	 * Creates a generator that is not started yet.
	 * @param nodes supplies the caller addresses of nodes as {@code ip:port}
	 * @param kinds kinds of calls
	 * @param callsPerSecond rate of all kinds together
	 * @param history receives the events of each call
	 * @param clock clock of the history
	 * @param seed seed for the choice of nodes, kinds and customers, and part of the call
	 * ids
	 */
	public LoadGenerator(Supplier<List<String>> nodes, List<CallKind> kinds, int callsPerSecond,
			Consumer<HistoryEvent> history, Clock clock, long seed) {
		this.nodes = nodes;
		this.kinds = List.copyOf(kinds);
		this.callsPerSecond = callsPerSecond;
		this.history = history;
		this.clock = clock;
		this.random = new Random(seed);
		this.prefix = "c" + seed + "-";
	}

	/**
	 * Starts sending.
	 */
	public void start() {
		this.running = true;
		this.sender = Thread.ofPlatform().name("load").start(this::sendAll);
	}

	/**
	 * Returns the results as seen by callers since the last call of this method, and
	 * resets the counts.
	 * @return the report
	 */
	public LoadReport takeReport() {
		Counts finished = this.counts;
		this.counts = new Counts();
		return finished.report();
	}

	/**
	 * Returns the idempotency key of a call.
	 * @param callId id of the call
	 * @return the key, empty if it had none
	 */
	public String keyOf(String callId) {
		return this.keysByCall.getOrDefault(callId, "");
	}

	/**
	 * Returns the number of broken calls: the connection to the node broke, no answer
	 * arrived, or the mesh reported that a connection broke after the request was sent
	 * over it. Refused connections and calls that exceeded the deadline of their route
	 * are not counted.
	 * @return count since the start
	 */
	public long brokenCalls() {
		return this.broken.sum();
	}

	/**
	 * Stops sending and waits for the answers.
	 */
	@Override
	public void close() {
		this.running = false;
		try {
			this.sender.join();
			this.executor.shutdown();
			this.executor.awaitTermination(2 * CALL_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.client.close();
	}

	private void sendAll() {
		long start = System.nanoTime();
		long sent = 0;
		while (this.running) {
			long due = (System.nanoTime() - start) * this.callsPerSecond / NANOS_PER_SECOND;
			while (sent < due && this.running) {
				CallKind kind = chooseKind();
				long customer = this.random.nextInt(CUSTOMERS);
				String node = chooseNode();
				String other = chooseNode();
				this.executor.submit(() -> callWithRetry(kind, customer, node, other));
				sent++;
			}
			try {
				Thread.sleep(1);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private CallKind chooseKind() {
		int total = this.kinds.stream().mapToInt(CallKind::weight).sum();
		int pick = this.random.nextInt(total);
		for (CallKind kind : this.kinds) {
			pick -= kind.weight();
			if (pick < 0) {
				return kind;
			}
		}
		return this.kinds.getLast();
	}

	private String chooseNode() {
		List<String> present = this.nodes.get();
		return present.get(this.random.nextInt(present.size()));
	}

	private void callWithRetry(CallKind kind, long customer, String node, String other) {
		String key = kind.idempotent() ? "" : this.prefix + "k" + this.nextCall.incrementAndGet();
		ExecutionVerdict verdict = call(kind, customer, node, key);
		for (int retry = 0; retry < RETRIES && !kind.idempotent() && verdict != ExecutionVerdict.RAN; retry++) {
			verdict = call(kind, customer, other, key);
		}
	}

	private ExecutionVerdict call(CallKind kind, long customer, String node, String key) {
		String id = this.prefix + this.nextCall.incrementAndGet();
		if (!key.isEmpty()) {
			this.keysByCall.put(id, key);
		}
		this.history.accept(new HistoryEvent.CallSent(this.clock.millis(), id, key, kind.idempotent()));
		HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + node + kind.path()))
			.timeout(CALL_TIMEOUT)
			.header("Mesh-Service", kind.service())
			.header("Mesh-Customer", "customer-" + customer)
			.header("Request-Id", id);
		if (!key.isEmpty()) {
			request.header("Idempotency-Key", key);
		}
		HttpRequest.BodyPublisher body = kind.method().equals("GET") ? HttpRequest.BodyPublishers.noBody()
				: HttpRequest.BodyPublishers.ofString(bodyOf(id, key));
		long start = System.nanoTime();
		try {
			HttpResponse<String> response = this.client.send(request.method(kind.method(), body).build(),
					HttpResponse.BodyHandlers.ofString());
			return answered(kind, id, response, System.nanoTime() - start);
		}
		catch (ConnectException ex) {
			// The JDK client retries a GET after a broken connection, so only for other
			// methods does a refused connection prove that nothing was sent.
			ExecutionVerdict verdict = kind.method().equals("GET") ? ExecutionVerdict.MAY_HAVE_RUN
					: ExecutionVerdict.NOT_RUN;
			this.counts.add("none", NO_STATUS, "connection refused", "", 0);
			record(id, verdict, "", true);
			return verdict;
		}
		catch (IOException ex) {
			this.broken.increment();
			this.counts.add("none", NO_STATUS, "no answer", "", 0);
			record(id, ExecutionVerdict.MAY_HAVE_RUN, "", true);
			return ExecutionVerdict.MAY_HAVE_RUN;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return ExecutionVerdict.MAY_HAVE_RUN;
		}
	}

	private ExecutionVerdict answered(CallKind kind, String id, HttpResponse<String> response, long nanos) {
		String label = response.headers().firstValue("Mesh-Verdict").orElse("none");
		String version = response.headers().firstValue("Mesh-Version").orElse("");
		String reason = response.headers().firstValue("Mesh-Reason").orElse("").replaceAll("[0-9]+", "N");
		this.counts.add(label, response.statusCode(), reason, version.isEmpty() ? "" : kind.service() + " " + version,
				nanos);
		if (response.statusCode() == STATUS_BAD_GATEWAY) {
			this.broken.increment();
		}
		ExecutionVerdict verdict = verdictOf(label);
		Optional<String> answeredId = response.headers().firstValue("Request-Id");
		boolean whole = answeredId.isEmpty() || kind.method().equals("GET")
				|| response.body().contains(bodyOf(answeredId.get(), keyOf(id)));
		record(id, verdict, answeredId.orElse(""), whole);
		return verdict;
	}

	private void record(String id, ExecutionVerdict verdict, String answeredId, boolean whole) {
		this.history.accept(new HistoryEvent.CallAnswered(this.clock.millis(), id, verdict, answeredId, whole));
	}

	private static String bodyOf(String id, String key) {
		// A retry with the same idempotency key must send the same body.
		return "body of " + (key.isEmpty() ? id : key);
	}

	private static ExecutionVerdict verdictOf(String label) {
		for (ExecutionVerdict verdict : ExecutionVerdict.values()) {
			if (verdict.label().equals(label)) {
				return verdict;
			}
		}
		return ExecutionVerdict.MAY_HAVE_RUN;
	}

	/**
	 * Counters between two reports.
	 */
	private static final class Counts {

		private final Map<String, LongAdder> byVerdict = new ConcurrentHashMap<>();

		private final Map<Integer, LongAdder> byStatus = new ConcurrentHashMap<>();

		private final Map<String, LongAdder> byReason = new ConcurrentHashMap<>();

		private final Map<String, LongAdder> byVersion = new ConcurrentHashMap<>();

		private final LongAdder[] latencies = new LongAdder[LatencyHistogram.BUCKETS];

		Counts() {
			for (int bucket = 0; bucket < this.latencies.length; bucket++) {
				this.latencies[bucket] = new LongAdder();
			}
		}

		void add(String verdict, int status, String reason, String version, long nanos) {
			this.byVerdict.computeIfAbsent(verdict, (key) -> new LongAdder()).increment();
			this.byStatus.computeIfAbsent(status, (key) -> new LongAdder()).increment();
			if (!reason.isEmpty()) {
				this.byReason.computeIfAbsent(reason, (key) -> new LongAdder()).increment();
			}
			if (!version.isEmpty()) {
				this.byVersion.computeIfAbsent(version, (key) -> new LongAdder()).increment();
			}
			this.latencies[LatencyHistogram.bucketOf(nanos / NANOS_PER_MILLI)].increment();
		}

		LoadReport report() {
			long[] counts = new long[this.latencies.length];
			for (int bucket = 0; bucket < counts.length; bucket++) {
				counts[bucket] = this.latencies[bucket].sum();
			}
			LatencyHistogram histogram = LatencyHistogram.of(counts);
			return new LoadReport(histogram.total(), sums(this.byVerdict), sums(this.byStatus), sums(this.byReason),
					sums(this.byVersion), histogram.quantileMillis(0.5), histogram.quantileMillis(0.99));
		}

		private static <K> Map<K, Long> sums(Map<K, LongAdder> adders) {
			Map<K, Long> sums = new ConcurrentHashMap<>();
			adders.forEach((key, adder) -> sums.put(key, adder.sum()));
			return sums;
		}

	}

}
