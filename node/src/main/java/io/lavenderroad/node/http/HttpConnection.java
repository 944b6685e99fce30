package io.lavenderroad.node.http;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.lavenderroad.core.http.HttpAuthority;
import io.lavenderroad.core.http.MalformedLineException;
import io.lavenderroad.core.http.RequestHead;
import io.lavenderroad.core.http.RequestReader;
import io.lavenderroad.core.http.ResponseReader;
import io.lavenderroad.model.CallerLimits;
import io.vavr.control.Either;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.MalformedChunkCodingException;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseWriter;
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
	 * Size of the answers on a connection that wait to be written, from which no further
	 * request is read. Larger than most answers, so that pipelining works for them.
	 */
	private static final long ANSWER_WINDOW_BYTES = 256 * 1024;

	/**
	 * Size of the parts in which an answer is written; after each one the caller has made
	 * progress.
	 */
	private static final int WRITE_BYTES = 16 * 1024;

	/**
	 * Memory of a queued response besides its body and fields: threads and objects.
	 */
	private static final long RESPONSE_BYTES = 2 * 1024;

	/**
	 * Value of {@code Retry-After} if a request body exceeds the common memory budget.
	 */
	private static final String MEMORY_RETRY_AFTER_SECONDS = "1";

	private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

	private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");

	private static final CompletableFuture<Void> COMPLETED = CompletableFuture.completedFuture(null);

	private final HttpListener listener;

	private final Socket socket;

	private final ResponseQueue responses = new ResponseQueue(MAXIMUM_PIPELINED_REQUESTS);

	private final CallerMemory.Account account;

	private final CallerInputStream input;

	private final RequestReader reader;

	private final SessionOutputBufferImpl output = new SessionOutputBufferImpl(BUFFER_BYTES,
			StandardCharsets.ISO_8859_1.newEncoder());

	/**
	 * Completed when the response to the request read last is ready. It does not refer to
	 * the response, which an idle connection would keep. Only the reader thread uses it.
	 */
	private CompletableFuture<Void> previousReady = COMPLETED;

	private final CountDownLatch readerEnded = new CountDownLatch(1);

	private volatile boolean rejected;

	private volatile long lastActivityMillis;

	/**
	 * When the writer began to wait for the caller to read, 0 while it does not wait.
	 */
	private volatile long writingSinceMillis;

	private volatile boolean idle;

	HttpConnection(HttpListener listener, Socket socket) throws IOException {
		this.listener = listener;
		this.socket = socket;
		this.input = new CallerInputStream(socket);
		this.reader = new RequestReader(this.input);
		this.account = listener.memory().open(this::closeAsLargest);
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

	/**
	 * Returns since when the connection has been idle.
	 * @return time of the last activity, or the largest number if the connection is not
	 * idle
	 */
	long idleSinceMillis() {
		return (this.idle && this.responses.size() == 0) ? this.lastActivityMillis : Long.MAX_VALUE;
	}

	void closeAsIdle() {
		this.listener.refusals()
			.closed(CallerRefusals.Reason.IDLE_AT_LIMIT, this.socket.getRemoteSocketAddress(),
					"all connections are open");
		close();
	}

	/**
	 * Closes the connection if its caller has read nothing for too long.
	 * @param nowMillis current time
	 * @param maximumMillis maximum time without progress
	 */
	void closeIfStalled(long nowMillis, long maximumMillis) {
		long since = this.writingSinceMillis;
		if (since != 0 && nowMillis - since > maximumMillis) {
			this.listener.refusals()
				.closed(CallerRefusals.Reason.STALLED_READER, this.socket.getRemoteSocketAddress(),
						"nothing of an answer was read for " + (nowMillis - since) + " ms");
			close();
		}
	}

	private void closeAsLargest() {
		this.listener.refusals()
			.closed(CallerRefusals.Reason.HOLDS_MOST, this.socket.getRemoteSocketAddress(),
					"callers hold " + this.listener.memory().usedBytes() + " bytes");
		close();
	}

	private void readRequests() {
		try {
			this.socket.setTcpNoDelay(true);
			boolean open = true;
			while (open && awaitData()) {
				open = readRequest();
			}
			if (!open) {
				awaitDisconnect();
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
	 * @return false if the caller has disconnected or exceeded the idle timeout
	 * @throws IOException if the socket fails
	 * @throws InterruptedException if the thread is interrupted
	 */
	private boolean awaitData() throws IOException, InterruptedException {
		this.responses.awaitWindow(this.account::answerBytes, ANSWER_WINDOW_BYTES);
		this.idle = true;
		while (!this.reader.hasBufferedData()) {
			int idleTimeout = Math.max(1, this.listener.limits().idleTimeoutMillis());
			this.input.timeout(idleTimeout);
			try {
				if (!this.reader.fill()) {
					return false;
				}
			}
			catch (SocketTimeoutException ex) {
				boolean expired = this.responses.size() == 0
						&& this.listener.clock().millis() - this.lastActivityMillis >= idleTimeout;
				if (expired) {
					return false;
				}
			}
		}
		this.idle = false;
		return true;
	}

	/**
	 * Reads one request.
	 * @return false if no further request may follow
	 * @throws IOException if the socket fails
	 * @throws InterruptedException if the thread is interrupted
	 */
	private boolean readRequest() throws IOException, InterruptedException {
		CallerLimits limits = this.listener.limits();
		HeldRequest held = new HeldRequest(this.account);
		try {
			this.input.deadline(limits.headerTimeoutMillis());
			RequestHead head = this.reader.readHead(limits.maximumHeaderBytes(), held::reserve);
			this.input.timeout(limits.headerTimeoutMillis());
			return accept(head, held, limits);
		}
		catch (SocketTimeoutException ex) {
			return reject(HttpStatus.SC_REQUEST_TIMEOUT, CallerRefusals.Reason.TIMEOUT,
					"the request did not arrive in time");
		}
		catch (MessageConstraintException ex) {
			return reject(HttpStatus.SC_REQUEST_HEADER_FIELDS_TOO_LARGE, CallerRefusals.Reason.HEAD_TOO_LARGE,
					"the headers are over " + limits.maximumHeaderBytes() + " bytes");
		}
		catch (CallerMemoryExhaustedException ex) {
			return reject(HttpStatus.SC_SERVICE_UNAVAILABLE, CallerRefusals.Reason.MEMORY, ex.getMessage());
		}
		catch (HttpException | MalformedLineException | MalformedChunkCodingException ex) {
			return reject(HttpStatus.SC_BAD_REQUEST, CallerRefusals.Reason.MALFORMED,
					"the request cannot be read: " + reason(ex));
		}
		finally {
			held.releaseUnlessPassedOn();
		}
	}

	// The message of a parse error contains the line, which may hold an access key.
	private static String reason(Exception ex) {
		return (ex instanceof ParseException) ? "a line of its head is malformed" : ex.getMessage();
	}

	private boolean accept(RequestHead head, HeldRequest held, CallerLimits limits)
			throws IOException, InterruptedException {
		Either<String, RequestTarget> target = RequestTarget.parse(head.target());
		HeaderFields headers = HeaderFields.of(head.fields());
		Either<String, Optional<HttpAuthority>> authority = target
			.flatMap((parsed) -> RequestAuthority.of(parsed, headers));
		if (authority.isLeft()) {
			return reject(HttpStatus.SC_BAD_REQUEST, CallerRefusals.Reason.MALFORMED, authority.getLeft());
		}
		if (awaitsContinue(head, headers, limits) && !sendContinue()) {
			return false;
		}
		byte[] body = MessageBody.readRequest(head, this.reader, limits.maximumBodyBytes(), this.account);
		if (body == null) {
			return reject(HttpStatus.SC_REQUEST_TOO_LONG, CallerRefusals.Reason.BODY_TOO_LARGE,
					"the body is over " + limits.maximumBodyBytes() + " bytes");
		}
		held.add(body.length);
		IncomingRequest request = new IncomingRequest(head.method(), target.get().path(), authority.get(),
				RequestAuthority.withHost(target.get(), headers), body, this.socket.getInetAddress(),
				this.socket.getLocalAddress(), new Cancellation());
		boolean last = !head.persistent() || headers.closesConnection();
		CompletableFuture<OutgoingResponse> response = new CompletableFuture<>();
		if (!this.responses.add(new PendingResponse(request.method(), response, last, request.departure()))) {
			return false;
		}
		CompletableFuture<Void> predecessor = SAFE_METHODS.contains(request.method()) ? COMPLETED : this.previousReady;
		CompletableFuture<Void> ready = new CompletableFuture<>();
		this.previousReady = ready;
		held.passOn();
		Thread.ofVirtual().name("answer request").start(() -> {
			predecessor.join();
			run(request, response, held);
			ready.complete(null);
		});
		return !last;
	}

	private static boolean awaitsContinue(RequestHead head, HeaderFields headers, CallerLimits limits) {
		boolean hasBody = head.bodyLength() != 0 && head.bodyLength() != ContentLengthStrategy.UNDEFINED;
		return hasBody && head.bodyLength() <= limits.maximumBodyBytes() && head.persistent()
				&& headers.text("Expect").equalsIgnoreCase("100-continue");
	}

	/**
	 * Tells the caller to send the body that it holds back (RFC 9110, section 10.1.1).
	 * Waits until all earlier responses are written; until this request is in the queue,
	 * the writer writes nothing.
	 * @return false if the connection is closed after an earlier response
	 * @throws IOException if the connection fails
	 * @throws InterruptedException if the thread is interrupted
	 */
	private boolean sendContinue() throws IOException, InterruptedException {
		if (!this.responses.awaitWritten()) {
			return false;
		}
		if (!this.reader.hasBufferedData()) {
			beginWriting();
			this.socket.getOutputStream().write(CONTINUE);
			this.writingSinceMillis = 0;
		}
		return true;
	}

	private void run(IncomingRequest request, CompletableFuture<OutgoingResponse> response, HeldRequest held) {
		OutgoingResponse answer = handle(request);
		this.account.addAnswer(bytes(answer));
		held.release();
		response.complete(answer);
	}

	private static long bytes(OutgoingResponse response) {
		return RESPONSE_BYTES + response.body().length;
	}

	private boolean reject(int status, CallerRefusals.Reason cause, String reason) throws InterruptedException {
		this.listener.refusals().rejected(cause, this.socket.getRemoteSocketAddress(), status, reason);
		byte[] body = (reason + "\n").getBytes(StandardCharsets.UTF_8);
		HeaderFields headers = (status == HttpStatus.SC_SERVICE_UNAVAILABLE)
				? HeaderFields.of(List.of("Retry-After", MEMORY_RETRY_AFTER_SECONDS)) : HeaderFields.NONE;
		OutgoingResponse response = new OutgoingResponse(status, headers, body, true);
		this.rejected = true;
		this.account.addAnswer(bytes(response));
		this.responses
			.add(new PendingResponse("", CompletableFuture.completedFuture(response), true, new Cancellation()));
		return false;
	}

	private void awaitDisconnect() throws IOException {
		this.input.timeout(0);
		byte[] ignored = new byte[BUFFER_BYTES];
		this.reader.clear();
		while (this.input.read(ignored) >= 0) {
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
			boolean open = true;
			while (open) {
				open = writeNext(stream);
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
			this.account.end();
			this.listener.removeAnswered(this);
		}
	}

	private void linger() throws IOException, InterruptedException {
		this.socket.shutdownOutput();
		if (!this.readerEnded.await(LINGER_MILLIS, TimeUnit.MILLISECONDS)) {
			Logger.debug("node: Caller {} still sends a rejected request.", this.socket.getRemoteSocketAddress());
		}
	}

	/**
	 * Waits for the next response and writes it. The response is referred to only within
	 * this method, so that it can be reclaimed while the next one is awaited.
	 * @param stream output of the connection
	 * @return false if no further response is written
	 * @throws IOException if the connection fails
	 * @throws InterruptedException if the thread is interrupted
	 */
	private boolean writeNext(OutputStream stream) throws IOException, InterruptedException {
		Optional<PendingResponse> next = this.responses.awaitNext();
		return next.isPresent() && write(next.get(), stream);
	}

	private boolean write(PendingResponse pending, OutputStream stream) throws IOException {
		OutgoingResponse response = pending.response().join();
		boolean last = isLast(pending, response);
		write(pending.method(), response, last, stream);
		this.lastActivityMillis = this.listener.clock().millis();
		this.account.removeAnswer(bytes(response));
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
		beginWriting();
		try {
			new DefaultHttpResponseWriter().write(head, this.output, stream);
			if (!withoutBody && !method.equals("HEAD")) {
				writeBody(response.body(), stream);
			}
			this.output.flush(stream);
		}
		catch (HttpException ex) {
			throw new IOException("response head cannot be encoded: " + ex.getMessage(), ex);
		}
		finally {
			this.writingSinceMillis = 0;
		}
	}

	private void writeBody(byte[] body, OutputStream stream) throws IOException {
		for (int offset = 0; offset < body.length; offset += WRITE_BYTES) {
			this.output.write(body, offset, Math.min(WRITE_BYTES, body.length - offset), stream);
			beginWriting();
		}
	}

	private void beginWriting() {
		// The clock may stand at 0, which means that nothing is written.
		this.writingSinceMillis = Math.max(1, this.listener.clock().millis());
	}

}
