package io.lavenderroad.node.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;

import io.lavenderroad.model.CallerLimits;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.RequestHeaderFieldsTooLargeException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.io.DefaultHttpRequestParser;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseWriter;
import org.apache.hc.core5.http.impl.io.SessionInputBufferImpl;
import org.apache.hc.core5.http.impl.io.SessionOutputBufferImpl;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.tinylog.Logger;

/**
 * One connection of a caller. A reading task takes requests off the socket, also while
 * others are being answered, so that it sees the caller leave; an answering task writes
 * the answers in the order of the requests. A request with a safe method that was sent
 * behind others is run beside them; any other one waits until they are answered, so that
 * it has not run if the connection ends before it.
 */
final class HttpConnection {

	/**
	 * Requests that a caller may send before the first is answered; further ones wait in
	 * the socket.
	 */
	private static final int MOST_PIPELINED = 16;

	private static final int BUFFER_BYTES = 4 * 1024;

	/**
	 * When a caller may come back whose body found no memory.
	 */
	private static final String FULL_RETRY_AFTER_SECONDS = "1";

	private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");

	private static final CompletableFuture<OutgoingResponse> DONE = CompletableFuture.completedFuture(null);

	private final HttpListener listener;

	private final Socket socket;

	private final BlockingQueue<Step> steps = new LinkedBlockingQueue<>(MOST_PIPELINED);

	private final Queue<Cancellation> unanswered = new ConcurrentLinkedQueue<>();

	private final AtomicInteger inProgress = new AtomicInteger();

	private final SessionInputBufferImpl input;

	private final SessionOutputBufferImpl output = new SessionOutputBufferImpl(BUFFER_BYTES,
			StandardCharsets.ISO_8859_1.newEncoder());

	/**
	 * The request read last; only the reading task uses it.
	 */
	private CompletableFuture<OutgoingResponse> previous = DONE;

	private volatile long lastUsedMillis;

	HttpConnection(HttpListener listener, Socket socket) {
		this.listener = listener;
		this.socket = socket;
		this.input = new SessionInputBufferImpl(new BasicHttpTransportMetrics(), BUFFER_BYTES, BUFFER_BYTES,
				listener.limits().maximumHeaderBytes(), StandardCharsets.ISO_8859_1.newDecoder());
		this.lastUsedMillis = listener.clock().millis();
	}

	void start() {
		Thread.ofVirtual().name("read caller").start(this::readAll);
		Thread.ofVirtual().name("answer caller").start(this::answerAll);
	}

	void close() {
		try {
			this.socket.close();
		}
		catch (IOException ex) {
			Logger.debug("node: Closing a caller's connection failed: {}.", ex.getMessage());
		}
	}

	private void readAll() {
		try {
			this.socket.setTcpNoDelay(true);
			InputStream stream = this.socket.getInputStream();
			boolean more = true;
			while (more && awaitData(stream)) {
				more = readOne(stream);
			}
			if (!more) {
				awaitDeparture(stream);
			}
		}
		catch (IOException ex) {
			Logger.debug("node: A caller's connection broke: {}.", ex.getMessage());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			end();
		}
	}

	/**
	 * Waits for the first byte of the next request.
	 * @param stream bytes of the caller
	 * @return false if the caller has left or was idle for too long
	 * @throws IOException if the socket fails
	 */
	private boolean awaitData(InputStream stream) throws IOException {
		while (!this.input.hasBufferedData()) {
			long idleTimeout = this.listener.limits().idleTimeoutMillis();
			this.socket.setSoTimeout((int) Math.max(1, idleTimeout));
			try {
				if (this.input.fillBuffer(stream) < 0) {
					return false;
				}
			}
			catch (SocketTimeoutException ex) {
				boolean idle = this.inProgress.get() == 0
						&& this.listener.clock().millis() - this.lastUsedMillis >= idleTimeout;
				if (idle) {
					return false;
				}
			}
		}
		return true;
	}

	/**
	 * Reads one request.
	 * @param stream bytes of the caller
	 * @return false if no further request may follow
	 * @throws IOException if the socket fails
	 * @throws InterruptedException if the thread is interrupted
	 */
	private boolean readOne(InputStream stream) throws IOException, InterruptedException {
		CallerLimits limits = this.listener.limits();
		this.socket.setSoTimeout(limits.headerTimeoutMillis());
		Http1Config config = Http1Config.custom().setMaxHeaderCount(limits.maximumHeaderBytes() / 4).build();
		try {
			ClassicHttpRequest head = new DefaultHttpRequestParser(config).parse(this.input,
					new HeadStream(stream, limits.maximumHeaderBytes() + BUFFER_BYTES));
			return accept(head, stream, limits);
		}
		catch (SocketTimeoutException ex) {
			return reject(HttpStatus.SC_REQUEST_TIMEOUT, "the request did not arrive in time");
		}
		catch (MessageConstraintException | RequestHeaderFieldsTooLargeException ex) {
			return reject(HttpStatus.SC_REQUEST_HEADER_FIELDS_TOO_LARGE,
					"the headers are over " + limits.maximumHeaderBytes() + " bytes");
		}
		catch (BodyMemoryException ex) {
			return reject(HttpStatus.SC_SERVICE_UNAVAILABLE, ex.getMessage());
		}
		catch (HttpException ex) {
			return reject(HttpStatus.SC_BAD_REQUEST, "the request cannot be read: " + ex.getMessage());
		}
	}

	private boolean accept(ClassicHttpRequest head, InputStream stream, CallerLimits limits)
			throws IOException, HttpException, InterruptedException {
		byte[] body = MessageBody.read(head, this.input, stream, limits.maximumBodyBytes(), this.listener.bodyMemory());
		if (body == null) {
			return reject(HttpStatus.SC_REQUEST_TOO_LONG, "the body is over " + limits.maximumBodyBytes() + " bytes");
		}
		HeaderFields headers = HeaderFields.ofFields(head.getHeaders());
		IncomingRequest request = new IncomingRequest(head.getMethod(), head.getRequestUri(), withHost(head, headers),
				body, this.socket.getInetAddress(), this.socket.getLocalAddress(), new Cancellation());
		boolean oldVersion = head.getVersion() != null && head.getVersion().lessEquals(HttpVersion.HTTP_1_0);
		boolean last = oldVersion || headers.closesConnection();
		this.unanswered.add(request.departure());
		this.inProgress.incrementAndGet();
		CompletableFuture<OutgoingResponse> response = new CompletableFuture<>();
		CompletableFuture<?> before = SAFE_METHODS.contains(request.method()) ? DONE : this.previous;
		this.previous = response;
		this.steps.put(new Step(request.method(), response, last));
		Thread.ofVirtual().name("answer request").start(() -> run(request, before, response));
		return !last;
	}

	private void run(IncomingRequest request, CompletableFuture<?> before,
			CompletableFuture<OutgoingResponse> response) {
		before.join();
		response.complete(handle(request));
	}

	// The parser moves the host of an absolute target and of the Host field apart.
	private static HeaderFields withHost(ClassicHttpRequest head, HeaderFields headers) {
		if (headers.first("Host").isPresent() || head.getAuthority() == null) {
			return headers;
		}
		List<String> pairs = new ArrayList<>(headers.pairs());
		pairs.add("Host");
		pairs.add(head.getAuthority().toString());
		return HeaderFields.of(pairs);
	}

	private boolean reject(int status, String reason) throws InterruptedException {
		Logger.info("node: Rejected bytes of the caller {} with {}: {}.", this.socket.getRemoteSocketAddress(), status,
				reason);
		byte[] body = (reason + "\n").getBytes(StandardCharsets.UTF_8);
		this.inProgress.incrementAndGet();
		HeaderFields headers = (status == HttpStatus.SC_SERVICE_UNAVAILABLE)
				? HeaderFields.of(List.of("Retry-After", FULL_RETRY_AFTER_SECONDS)) : HeaderFields.NONE;
		OutgoingResponse response = new OutgoingResponse(status, headers, body, true);
		this.steps.put(new Step("", CompletableFuture.completedFuture(response), true));
		return false;
	}

	private void awaitDeparture(InputStream stream) throws IOException {
		this.socket.setSoTimeout(0);
		byte[] ignored = new byte[BUFFER_BYTES];
		this.input.clear();
		while (stream.read(ignored) >= 0) {
			this.lastUsedMillis = this.listener.clock().millis();
		}
	}

	private void end() {
		this.unanswered.forEach(Cancellation::cancel);
		this.listener.closed(this);
		if (this.inProgress.get() == 0) {
			close();
		}
		this.steps.offer(Step.END);
	}

	private void answerAll() {
		try {
			OutputStream stream = this.socket.getOutputStream();
			boolean more = true;
			while (more) {
				Step step = this.steps.take();
				more = step != Step.END && answer(step, stream);
			}
		}
		catch (IOException ex) {
			Logger.debug("node: An answer could not be written: {}.", ex.getMessage());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			close();
		}
	}

	private boolean answer(Step step, OutputStream stream) throws IOException {
		OutgoingResponse response = step.response().join();
		boolean last = step.last() || response.close() || this.listener.isLeaving();
		write(step.method(), response, last, stream);
		this.unanswered.poll();
		this.lastUsedMillis = this.listener.clock().millis();
		this.inProgress.decrementAndGet();
		return !last;
	}

	private OutgoingResponse handle(IncomingRequest request) {
		try {
			return this.listener.handler().handle(request);
		}
		catch (RuntimeException ex) {
			Logger.error(ex, "node: Answering {} {} failed.", request.method(), request.target());
			return new OutgoingResponse(HttpStatus.SC_INTERNAL_SERVER_ERROR, HeaderFields.NONE, new byte[0], true);
		}
	}

	private void write(String method, OutgoingResponse response, boolean last, OutputStream stream) throws IOException {
		BasicClassicHttpResponse head = new BasicClassicHttpResponse(response.status());
		response.headers().forEach(head::addHeader);
		if (last) {
			head.addHeader("Connection", "close");
		}
		boolean bodiless = MessageBody.isForbidden(response.status());
		if (!bodiless) {
			head.addHeader("Content-Length", response.body().length);
		}
		try {
			new DefaultHttpResponseWriter().write(head, this.output, stream);
		}
		catch (HttpException ex) {
			throw new IOException("answer cannot be written: " + ex.getMessage(), ex);
		}
		if (!bodiless && !method.equals("HEAD")) {
			this.output.write(response.body(), stream);
		}
		this.output.flush(stream);
	}

	/**
	 * What the answering task does next.
	 *
	 * @param method method of the request
	 * @param response the answer, when it is ready
	 * @param last whether the connection is closed afterwards
	 */
	private record Step(String method, CompletableFuture<OutgoingResponse> response, boolean last) {

		private static final Step END = new Step("", null, true);

	}

}
