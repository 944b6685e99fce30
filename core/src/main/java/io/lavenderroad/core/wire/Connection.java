package io.lavenderroad.core.wire;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.ReentrantLock;

import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.core.LavenderroadException;
import io.vavr.control.Either;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.tinylog.Logger;

/**
 * A framed connection to a peer. A frame is a length of four bytes and a MessagePack
 * body: kind, correlation id, and a message of the catalog. Any received bytes show that
 * the peer is alive. A connection on which nothing is received for longer than the
 * receive timeout is closed, so that a broken connection is detected earlier than by the
 * TCP timeouts of the operating system.
 */
public final class Connection implements AutoCloseable {

	private static final int KIND_ONE_WAY = 0;

	private static final int KIND_REQUEST = 1;

	private static final int KIND_ANSWER = 2;

	private static final int KIND_FAILURE = 3;

	private static final int KIND_HEARTBEAT = 4;

	private static final int KIND_HELLO = 5;

	private static final int KIND_REFUSAL = 6;

	private static final int KIND_PROBE = 7;

	private static final int KIND_PROBE_ANSWER = 8;

	private static final int FRAME_HEADER_BYTES = 4;

	private static final int STREAM_BUFFER_BYTES = 8 * 1024;

	/**
	 * Most frames are small, so the default buffer of 8 KB for each frame would mainly
	 * create garbage.
	 */
	private static final MessagePack.PackerConfig PACKER = new MessagePack.PackerConfig().withBufferSize(1024);

	private final Socket socket;

	private final WireOptions options;

	private final DataInputStream input;

	private final DataOutputStream output;

	private final ReentrantLock writeLock = new ReentrantLock();

	private final AtomicLong lastCorrelationId = new AtomicLong();

	private final Map<Long, CompletableFuture<Either<CallFailure, Object>>> pendingCalls = new ConcurrentHashMap<>();

	private final Set<Thread> answeringThreads = ConcurrentHashMap.newKeySet();

	private final AtomicBoolean closed = new AtomicBoolean();

	private final LongAdder bytesSent = new LongAdder();

	private final LongAdder bytesReceived = new LongAdder();

	private volatile ConnectionHandler handler;

	private volatile Hello peer;

	private volatile long lastReceivedMillis;

	private volatile long lastSentMillis;

	/**
	 * Written only by the connection monitor.
	 */
	private volatile long waitingSinceMillis;

	private Connection(Socket socket, WireOptions options) throws IOException {
		this.socket = socket;
		this.options = options;
		socket.setTcpNoDelay(true);
		this.input = new DataInputStream(new BufferedInputStream(socket.getInputStream(), STREAM_BUFFER_BYTES));
		this.output = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream(), STREAM_BUFFER_BYTES));
		this.lastReceivedMillis = options.clock().millis();
		this.lastSentMillis = this.lastReceivedMillis;
	}

	/**
	 * Connects to a peer and performs the handshake.
	 * @param address address at which the peer accepts frames
	 * @param options limits and identity of this process
	 * @param handler handles the messages and requests of the peer
	 * @return the open connection, or why there is none; the verdict is always
	 * {@code NOT_RUN}
	 */
	public static Either<CallFailure, Connection> open(InetSocketAddress address, WireOptions options,
			ConnectionHandler handler) {
		Socket socket = null;
		try {
			socket = options.tls().isPresent() ? options.tls().get().getSocketFactory().createSocket() : new Socket();
			if (options.localAddress().isPresent()) {
				socket.bind(new InetSocketAddress(options.localAddress().get(), 0));
			}
			socket.connect(address, options.connectTimeoutMillis());
			socket.setSoTimeout(options.connectTimeoutMillis());
			Connection connection = new Connection(socket, options);
			connection.handler = handler;
			connection.writeHello();
			connection.peer = connection.readHello();
			connection.start();
			return Either.right(connection);
		}
		catch (IOException | RuntimeException ex) {
			closeQuietly(socket);
			return Either.left(
					new CallFailure(ExecutionVerdict.NOT_RUN, "cannot connect to " + address + ": " + ex.getMessage()));
		}
	}

	/**
	 * Performs the handshake of an accepted connection: reads the hello of the peer,
	 * checks its cluster and answers.
	 * @param socket the accepted socket
	 * @param options limits and identity of this process
	 * @param handler handles the messages and requests of the peer
	 * @return the open connection
	 * @throws IOException if the socket fails
	 * @throws WireException if the hello is invalid or of another cluster
	 */
	static Connection accept(Socket socket, WireOptions options, ConnectionHandler handler) throws IOException {
		socket.setSoTimeout(options.connectTimeoutMillis());
		Connection connection = new Connection(socket, options);
		connection.handler = handler;
		try {
			connection.peer = connection.readHello();
		}
		catch (WireException ex) {
			connection.writeFrame(KIND_REFUSAL, 0, ex.getMessage());
			throw ex;
		}
		connection.writeHello();
		connection.start();
		return connection;
	}

	/**
	 * Returns the handshake message of the peer.
	 * @return the hello of the peer
	 */
	public Hello peer() {
		return this.peer;
	}

	/**
	 * Returns when the last bytes were received from the peer, including those of
	 * incomplete frames.
	 * @return milliseconds on the clock of the options
	 */
	public long lastReceivedMillis() {
		return this.lastReceivedMillis;
	}

	/**
	 * Returns the number of bytes sent, including frame headers.
	 * @return bytes
	 */
	public long bytesSent() {
		return this.bytesSent.sum();
	}

	/**
	 * Returns the number of bytes received, including frame headers.
	 * @return bytes
	 */
	public long bytesReceived() {
		return this.bytesReceived.sum();
	}

	/**
	 * Returns the number of requests of the peer that are not answered yet, so that a
	 * process that stops can wait for them.
	 * @return number of requests
	 */
	public int pendingAnswers() {
		return this.answeringThreads.size();
	}

	/**
	 * Returns whether the connection is open.
	 * @return true until it is closed by either side
	 */
	public boolean isOpen() {
		return !this.closed.get();
	}

	/**
	 * Sends a one-way message. Blocks while the peer does not read, but no longer than
	 * until the connection is closed by the receive timeout.
	 * @param message a message of the catalog
	 * @return true if it was written to the socket
	 */
	public boolean send(Object message) {
		return isOpen() && tryWrite(KIND_ONE_WAY, 0, message);
	}

	/**
	 * Sends a request and waits for the answer. A late answer is discarded.
	 * @param <T> type of the answer
	 * @param request a message of the catalog
	 * @param timeoutMillis maximum wait
	 * @param answerType class of the answer
	 * @return the answer, or why there is none and whether the request may have run
	 */
	public <T> Either<CallFailure, T> call(Object request, long timeoutMillis, Class<T> answerType) {
		return exchange(KIND_REQUEST, request, timeoutMillis).flatMap((answer) -> cast(answer, answerType));
	}

	/**
	 * Checks whether the peer answers.
	 * @param timeoutMillis maximum wait
	 * @return true if the peer answered in time
	 */
	public boolean probe(long timeoutMillis) {
		return exchange(KIND_PROBE, null, timeoutMillis).isRight();
	}

	private Either<CallFailure, Object> exchange(int kind, Object message, long timeoutMillis) {
		long correlationId = this.lastCorrelationId.incrementAndGet();
		CompletableFuture<Either<CallFailure, Object>> future = new CompletableFuture<>();
		this.pendingCalls.put(correlationId, future);
		try {
			if (!isOpen()) {
				return Either.left(new CallFailure(ExecutionVerdict.NOT_RUN, "connection is closed"));
			}
			if (!tryWrite(kind, correlationId, message)) {
				return Either.left(new CallFailure(ExecutionVerdict.MAY_HAVE_RUN, "connection broke while sending"));
			}
			return future.get(timeoutMillis, TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException ex) {
			return Either.left(new CallFailure(ExecutionVerdict.MAY_HAVE_RUN, "no answer in " + timeoutMillis + " ms"));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Either.left(new CallFailure(ExecutionVerdict.MAY_HAVE_RUN, "interrupted while waiting"));
		}
		catch (ExecutionException ex) {
			return Either.left(new CallFailure(ExecutionVerdict.MAY_HAVE_RUN, String.valueOf(ex.getCause())));
		}
		finally {
			this.pendingCalls.remove(correlationId);
		}
	}

	@Override
	public void close() {
		close("closed by this process");
	}

	/**
	 * Closes the connection. Pending calls fail with the verdict "may have run".
	 * @param reason short sentence for the logs
	 */
	public void close(String reason) {
		if (!this.closed.compareAndSet(false, true)) {
			return;
		}
		closeQuietly(this.socket);
		CallFailure failure = new CallFailure(ExecutionVerdict.MAY_HAVE_RUN, "connection closed: " + reason);
		this.pendingCalls.values().forEach((future) -> future.complete(Either.left(failure)));
		this.answeringThreads.forEach(Thread::interrupt);
		ConnectionHandler receiver = this.handler;
		if (receiver != null && this.peer != null) {
			receiver.closed(this, reason);
		}
	}

	@Override
	public String toString() {
		String name = (this.peer != null) ? this.peer.senderId() : "unknown peer";
		return name + " at " + this.socket.getRemoteSocketAddress();
	}

	private static <T> Either<CallFailure, T> cast(Object answer, Class<T> answerType) {
		if (answerType.isInstance(answer)) {
			return Either.right(answerType.cast(answer));
		}
		return Either.left(new CallFailure(ExecutionVerdict.MAY_HAVE_RUN,
				"unexpected answer " + answer.getClass().getSimpleName()));
	}

	private void start() throws IOException {
		this.socket.setSoTimeout(0);
		Thread.ofVirtual().name("read " + this).start(this::readFrames);
		this.options.monitor().add(this);
	}

	/**
	 * Sends a heartbeat or closes the connection if its health requires it. Called
	 * periodically by the connection monitor; does not block.
	 */
	void check() {
		long now = this.options.clock().millis();
		// A blocked writer waits for the peer to read.
		boolean waiting = !this.pendingCalls.isEmpty() || this.writeLock.isLocked();
		if (!waiting) {
			this.waitingSinceMillis = 0;
		}
		else if (this.waitingSinceMillis == 0) {
			this.waitingSinceMillis = now;
		}
		switch (ConnectionHealth.of(now, this.lastSentMillis, this.lastReceivedMillis, this.waitingSinceMillis,
				!this.answeringThreads.isEmpty(), this.options)) {
			case GOOD -> {
			}
			case HEARTBEAT_DUE -> {
				if (!this.writeLock.isLocked()) {
					Thread.ofVirtual().start(() -> tryWrite(KIND_HEARTBEAT, 0, null));
				}
			}
			case SILENT ->
				Thread.ofVirtual().start(() -> close("peer was silent for " + (now - this.lastReceivedMillis) + " ms"));
		}
	}

	private void readFrames() {
		try {
			while (isOpen()) {
				dispatch(readFrame());
			}
		}
		catch (EOFException ex) {
			close("peer closed the connection");
		}
		catch (IOException ex) {
			close("connection broke: " + ex.getMessage());
		}
		catch (RuntimeException ex) {
			if (isOpen()) {
				Logger.warn("wire: Closing the connection to {}: {}.", this, ex.getMessage());
			}
			close("protocol error: " + ex.getMessage());
		}
	}

	private byte[] readFrame() throws IOException {
		int length = this.input.readInt();
		if (length <= 0 || length > this.options.maximumFrameBytes()) {
			throw new WireException(
					"frame of " + length + " bytes is outside 1 to " + this.options.maximumFrameBytes());
		}
		byte[] body = readBody(length);
		this.bytesReceived.add(length + FRAME_HEADER_BYTES);
		return body;
	}

	// On a slow link a large frame may take longer than the receive timeout, so each
	// received chunk counts as activity of the peer.
	private byte[] readBody(int length) throws IOException {
		ByteArrayOutputStream body = new ByteArrayOutputStream(Math.min(length, STREAM_BUFFER_BYTES));
		byte[] chunk = new byte[Math.min(length, STREAM_BUFFER_BYTES)];
		while (body.size() < length) {
			int count = this.input.read(chunk, 0, Math.min(chunk.length, length - body.size()));
			if (count < 0) {
				throw new EOFException("truncated frame");
			}
			body.write(chunk, 0, count);
			this.lastReceivedMillis = this.options.clock().millis();
		}
		return body.toByteArray();
	}

	private void dispatch(byte[] body) throws IOException {
		MessageUnpacker unpacker = Fields.unpacker(body);
		int kind = unpacker.unpackInt();
		long correlationId = unpacker.unpackLong();
		switch (kind) {
			case KIND_HEARTBEAT -> {
			}
			case KIND_ONE_WAY -> this.handler.received(this, decode(unpacker));
			case KIND_REQUEST -> startAnswering(correlationId, decode(unpacker));
			case KIND_PROBE -> Thread.ofVirtual().start(() -> tryWrite(KIND_PROBE_ANSWER, correlationId, null));
			case KIND_PROBE_ANSWER -> complete(correlationId, Either.right(true));
			case KIND_ANSWER -> complete(correlationId, Either.right(decode(unpacker)));
			case KIND_FAILURE -> complete(correlationId,
					Either.left(new CallFailure(ExecutionVerdict.MAY_HAVE_RUN, unpacker.unpackString())));
			default -> throw new WireException("unknown frame kind " + kind);
		}
	}

	private Object decode(MessageUnpacker unpacker) throws IOException {
		try {
			return this.options.catalog().decode(unpacker);
		}
		catch (EOFException ex) {
			throw new WireException("message ends too early", ex);
		}
	}

	private void complete(long correlationId, Either<CallFailure, Object> result) {
		CompletableFuture<Either<CallFailure, Object>> future = this.pendingCalls.get(correlationId);
		if (future != null) {
			future.complete(result);
		}
	}

	private void startAnswering(long correlationId, Object request) {
		Thread.ofVirtual().start(() -> answer(correlationId, request));
	}

	private void answer(long correlationId, Object request) {
		this.answeringThreads.add(Thread.currentThread());
		try {
			Object answer = this.handler.answer(this, request);
			tryWrite(KIND_ANSWER, correlationId, answer);
		}
		catch (RuntimeException ex) {
			Logger.warn(ex, "wire: Request {} from {} failed.", request.getClass().getSimpleName(), this);
			tryWrite(KIND_FAILURE, correlationId, "peer failed: " + ex);
		}
		finally {
			this.answeringThreads.remove(Thread.currentThread());
		}
	}

	private boolean tryWrite(int kind, long correlationId, Object message) {
		try {
			writeFrame(kind, correlationId, message);
			return true;
		}
		catch (IOException ex) {
			close("connection broke: " + ex.getMessage());
			return false;
		}
	}

	private void writeFrame(int kind, long correlationId, Object message) throws IOException {
		byte[] body = encode(kind, correlationId, message);
		if (body.length > this.options.maximumFrameBytes()) {
			throw new LavenderroadException("message of " + body.length + " bytes is over the frame limit of "
					+ this.options.maximumFrameBytes());
		}
		this.writeLock.lock();
		try {
			this.output.writeInt(body.length);
			this.output.write(body);
			// A writer that waits for the lock will flush this frame as well, which saves
			// a system call.
			if (!this.writeLock.hasQueuedThreads()) {
				this.output.flush();
			}
		}
		finally {
			this.writeLock.unlock();
		}
		this.lastSentMillis = this.options.clock().millis();
		this.bytesSent.add(body.length + FRAME_HEADER_BYTES);
	}

	private byte[] encode(int kind, long correlationId, Object message) throws IOException {
		try (MessageBufferPacker packer = PACKER.newBufferPacker()) {
			packer.packInt(kind);
			packer.packLong(correlationId);
			switch (kind) {
				case KIND_HEARTBEAT, KIND_PROBE, KIND_PROBE_ANSWER -> {
				}
				case KIND_HELLO -> this.options.hello().encode(packer);
				case KIND_FAILURE, KIND_REFUSAL -> packer.packString((String) message);
				default -> this.options.catalog().encode(message, packer);
			}
			return packer.toByteArray();
		}
	}

	private void writeHello() throws IOException {
		writeFrame(KIND_HELLO, 0, null);
	}

	private Hello readHello() throws IOException {
		MessageUnpacker unpacker = Fields.unpacker(readFrame());
		int kind = unpacker.unpackInt();
		unpacker.unpackLong();
		if (kind == KIND_REFUSAL) {
			throw new WireException("peer refused: " + unpacker.unpackString());
		}
		if (kind != KIND_HELLO) {
			throw new WireException("frame kind " + kind + " in place of a hello");
		}
		Hello hello = Hello.decode(unpacker);
		if (!hello.cluster().equals(this.options.hello().cluster())) {
			throw new WireException(
					"cluster '" + hello.cluster() + "' in place of '" + this.options.hello().cluster() + "'");
		}
		return hello;
	}

	private static void closeQuietly(Socket socket) {
		if (socket == null) {
			return;
		}
		try {
			socket.close();
		}
		catch (IOException ex) {
			Logger.debug("wire: Closing a socket failed: {}.", ex.getMessage());
		}
	}

}
