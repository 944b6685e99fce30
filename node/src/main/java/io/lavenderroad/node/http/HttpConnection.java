package io.lavenderroad.node.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.lavenderroad.core.http.MessageHeadInputStream;
import io.lavenderroad.core.http.ResponseReader;
import io.lavenderroad.model.CallerLimits;
import io.vavr.control.Either;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.MalformedChunkCodingException;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.ParseException;
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
 * One connection of a caller. A reader thread reads requests from the socket, also while
 * earlier requests are being handled, so that it notices when the caller disconnects; a
 * writer thread writes the responses in the order of the requests. A pipelined request
 * with a safe method is handled concurrently with the earlier ones. Any other request
 * waits until the preceding response is ready, so that it has not run if the connection
 * ends before then.
 */
final class HttpConnection {

	/**
	 * Maximum number of pipelined requests whose responses are queued; further ones wait
	 * in the socket.
	 */
	private static final int MAXIMUM_PIPELINED_REQUESTS = 16;

	private static final int BUFFER_BYTES = 4 * 1024;

	/**
	 * How long the rest of a rejected request is read and ignored. A connection that is
	 * closed with unread bytes is reset, and its caller may lose the response.
	 */
	private static final long LINGER_MILLIS = 2_000;

	/**
	 * Value of {@code Retry-After} if a request body exceeds the common memory budget.
	 */
	private static final String MEMORY_RETRY_AFTER_SECONDS = "1";

	private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");

	private static final CompletableFuture<OutgoingResponse> COMPLETED = CompletableFuture.completedFuture(null);

	private final HttpListener listener;

	private final Socket socket;

	private final ResponseQueue responses = new ResponseQueue(MAXIMUM_PIPELINED_REQUESTS);

	private final SessionInputBufferImpl input;

	private final SessionOutputBufferImpl output = new SessionOutputBufferImpl(BUFFER_BYTES,
			StandardCharsets.ISO_8859_1.newEncoder());

	/**
	 * Response to the request read last. Only the reader thread uses it.
	 */
	private CompletableFuture<OutgoingResponse> previousResponse = COMPLETED;

	private final CountDownLatch readerEnded = new CountDownLatch(1);

	private volatile boolean rejected;

	private volatile long lastActivityMillis;

	HttpConnection(HttpListener listener, Socket socket) {
		this.listener = listener;
		this.socket = socket;
		this.input = new SessionInputBufferImpl(new BasicHttpTransportMetrics(), BUFFER_BYTES, BUFFER_BYTES,
				listener.limits().maximumHeaderBytes(), StandardCharsets.ISO_8859_1.newDecoder());
		this.lastActivityMillis = listener.clock().millis();
	}

	void start() {
		Thread.ofVirtual().name("read caller").start(this::readRequests);
		Thread.ofVirtual().name("answer caller").start(this::writeResponses);
	}

	int unansweredRequests() {
		return this.responses.size();
	}

	void close() {
		try {
			this.socket.close();
		}
		catch (IOException ex) {
			Logger.debug("node: Closing a caller's connection failed: {}.", ex.getMessage());
		}
	}

	private void readRequests() {
		try {
			this.socket.setTcpNoDelay(true);
			InputStream stream = this.socket.getInputStream();
			boolean open = true;
			while (open && awaitData(stream)) {
				open = readRequest(stream);
			}
			if (!open) {
				awaitDisconnect(stream);
			}
		}
		catch (IOException ex) {
			Logger.debug("node: Caller connection failed: {}.", ex.getMessage());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			endReading();
		}
	}

	/**
	 * Waits for the first byte of the next request.
	 * @param stream input of the caller
	 * @return false if the caller has disconnected or exceeded the idle timeout
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
				boolean idle = this.responses.size() == 0
						&& this.listener.clock().millis() - this.lastActivityMillis >= idleTimeout;
				if (idle) {
					return false;
				}
			}
		}
		return true;
	}

	/**
	 * Reads one request.
	 * @param stream input of the caller
	 * @return false if no further request may follow
	 * @throws IOException if the socket fails
	 * @throws InterruptedException if the thread is interrupted
	 */
	private boolean readRequest(InputStream stream) throws IOException, InterruptedException {
		CallerLimits limits = this.listener.limits();
		this.socket.setSoTimeout(limits.headerTimeoutMillis());
		Http1Config config = Http1Config.custom().setMaxHeaderCount(limits.maximumHeaderBytes() / 4).build();
		try {
			ClassicHttpRequest head = new DefaultHttpRequestParser(config, null, RawTargetRequest.FACTORY)
				.parse(this.input, new MessageHeadInputStream(stream, limits.maximumHeaderBytes() + BUFFER_BYTES));
			return accept(head, stream, limits);
		}
		catch (SocketTimeoutException ex) {
			return reject(HttpStatus.SC_REQUEST_TIMEOUT, "the request did not arrive in time");
		}
		catch (MessageConstraintException | RequestHeaderFieldsTooLargeException ex) {
			return reject(HttpStatus.SC_REQUEST_HEADER_FIELDS_TOO_LARGE,
					"the headers are over " + limits.maximumHeaderBytes() + " bytes");
		}
		catch (BodyMemoryExhaustedException ex) {
			return reject(HttpStatus.SC_SERVICE_UNAVAILABLE, ex.getMessage());
		}
		catch (HttpException | MalformedChunkCodingException ex) {
			return reject(HttpStatus.SC_BAD_REQUEST, "the request cannot be read: " + reason(ex));
		}
	}

	// The message of a parse error contains the line, which may hold an access key.
	private static String reason(Exception ex) {
		return (ex instanceof ParseException) ? "a line of its head is malformed" : ex.getMessage();
	}

	private boolean accept(ClassicHttpRequest head, InputStream stream, CallerLimits limits)
			throws IOException, HttpException, InterruptedException {
		Either<String, RequestTarget> target = RequestTarget.parse(head.getRequestUri());
		HeaderFields headers = HeaderFields.ofHeaders(head.getHeaders());
		if (target.isLeft() || namesOtherHost(target.get(), headers)) {
			return reject(HttpStatus.SC_BAD_REQUEST,
					target.isLeft() ? target.getLeft() : "the request target names another host than the Host field");
		}
		byte[] body = MessageBody.readRequest(head, this.input, stream, limits.maximumBodyBytes(),
				this.listener.bodyMemory());
		if (body == null) {
			return reject(HttpStatus.SC_REQUEST_TOO_LONG, "the body is over " + limits.maximumBodyBytes() + " bytes");
		}
		IncomingRequest request = new IncomingRequest(head.getMethod(), target.get().path(),
				withHost(target.get(), headers), body, this.socket.getInetAddress(), this.socket.getLocalAddress(),
				new Cancellation());
		boolean http10OrOlder = head.getVersion() != null && head.getVersion().lessEquals(HttpVersion.HTTP_1_0);
		boolean last = http10OrOlder || headers.closesConnection();
		CompletableFuture<OutgoingResponse> response = new CompletableFuture<>();
		if (!this.responses.add(new PendingResponse(request.method(), response, last, request.departure()))) {
			return false;
		}
		CompletableFuture<?> predecessor = SAFE_METHODS.contains(request.method()) ? COMPLETED : this.previousResponse;
		this.previousResponse = response;
		Thread.ofVirtual().name("answer request").start(() -> run(request, predecessor, response));
		return !last;
	}

	private void run(IncomingRequest request, CompletableFuture<?> predecessor,
			CompletableFuture<OutgoingResponse> response) {
		predecessor.join();
		response.complete(handle(request));
	}

	private static boolean namesOtherHost(RequestTarget target, HeaderFields headers) {
		Optional<String> host = headers.first("Host");
		return target.authority().isPresent() && host.isPresent()
				&& !target.authority().get().equalsIgnoreCase(host.get());
	}

	private static HeaderFields withHost(RequestTarget target, HeaderFields headers) {
		if (headers.first("Host").isPresent() || target.authority().isEmpty()) {
			return headers;
		}
		List<String> pairs = new ArrayList<>(headers.pairs());
		pairs.add("Host");
		pairs.add(target.authority().get());
		return HeaderFields.of(pairs);
	}

	private boolean reject(int status, String reason) throws InterruptedException {
		Logger.info("node: Rejected a request from caller {} with status {}: {}.", this.socket.getRemoteSocketAddress(),
				status, reason);
		byte[] body = (reason + "\n").getBytes(StandardCharsets.UTF_8);
		HeaderFields headers = (status == HttpStatus.SC_SERVICE_UNAVAILABLE)
				? HeaderFields.of(List.of("Retry-After", MEMORY_RETRY_AFTER_SECONDS)) : HeaderFields.NONE;
		OutgoingResponse response = new OutgoingResponse(status, headers, body, true);
		this.rejected = true;
		this.responses
			.add(new PendingResponse("", CompletableFuture.completedFuture(response), true, new Cancellation()));
		return false;
	}

	private void awaitDisconnect(InputStream stream) throws IOException {
		this.socket.setSoTimeout(0);
		byte[] ignored = new byte[BUFFER_BYTES];
		this.input.clear();
		while (stream.read(ignored) >= 0) {
			this.lastActivityMillis = this.listener.clock().millis();
		}
	}

	private void endReading() {
		List<PendingResponse> unwritten = this.responses.endReading();
		unwritten.forEach((pending) -> pending.departure().cancel());
		this.listener.remove(this);
		this.readerEnded.countDown();
		if (unwritten.isEmpty()) {
			close();
		}
	}

	private void writeResponses() {
		try {
			OutputStream stream = this.socket.getOutputStream();
			Optional<PendingResponse> next = this.responses.awaitNext();
			while (next.isPresent() && writeNext(next.get(), stream)) {
				next = this.responses.awaitNext();
			}
			if (this.rejected) {
				linger();
			}
		}
		catch (IOException ex) {
			Logger.debug("node: Writing a response to a caller failed: {}.", ex.getMessage());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.responses.close();
			close();
			this.listener.removeAnswered(this);
		}
	}

	private void linger() throws IOException, InterruptedException {
		this.socket.shutdownOutput();
		if (!this.readerEnded.await(LINGER_MILLIS, TimeUnit.MILLISECONDS)) {
			Logger.debug("node: Caller {} still sends a rejected request.", this.socket.getRemoteSocketAddress());
		}
	}

	private boolean writeNext(PendingResponse pending, OutputStream stream) throws IOException {
		OutgoingResponse response = pending.response().join();
		boolean last = isLast(pending, response);
		write(pending.method(), response, last, stream);
		this.lastActivityMillis = this.listener.clock().millis();
		this.responses.removeWritten();
		return !last;
	}

	/**
	 * Returns whether the connection is closed after a response. While the listener
	 * drains, requests that were read are still answered, since some of them may run.
	 * @param pending the response
	 * @param response its content
	 * @return true if no further response is written
	 */
	private boolean isLast(PendingResponse pending, OutgoingResponse response) {
		if (pending.last() || response.close()) {
			this.responses.close();
			return true;
		}
		return this.listener.isDraining() && this.responses.closeIfNoneFollows();
	}

	private OutgoingResponse handle(IncomingRequest request) {
		try {
			return this.listener.handler().handle(request);
		}
		catch (RuntimeException | StackOverflowError ex) {
			Logger.error(ex, "node: Handling {} {} failed.", request.method(), request.target());
			return new OutgoingResponse(HttpStatus.SC_INTERNAL_SERVER_ERROR, HeaderFields.NONE, new byte[0], true);
		}
	}

	private void write(String method, OutgoingResponse response, boolean last, OutputStream stream) throws IOException {
		BasicClassicHttpResponse head = new BasicClassicHttpResponse(response.status());
		response.headers().forEach(head::addHeader);
		if (last) {
			head.addHeader("Connection", "close");
		}
		boolean withoutBody = ResponseReader.isBodyForbidden(response.status());
		if (!withoutBody) {
			head.addHeader("Content-Length", response.body().length);
		}
		try {
			new DefaultHttpResponseWriter().write(head, this.output, stream);
		}
		catch (HttpException ex) {
			throw new IOException("response head cannot be encoded: " + ex.getMessage(), ex);
		}
		if (!withoutBody && !method.equals("HEAD")) {
			this.output.write(response.body(), stream);
		}
		this.output.flush(stream);
	}

}
