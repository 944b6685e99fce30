package io.lavenderroad.node;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.core.wire.CallFailure;
import io.lavenderroad.core.wire.Connection;
import io.lavenderroad.core.wire.ConnectionHandler;
import io.lavenderroad.core.wire.WireOptions;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.departure.DepartureAnswer;
import io.lavenderroad.node.http.Cancellation;
import io.lavenderroad.policy.quota.QuotaGrant;
import io.vavr.control.Either;

/**
 * Connections to other nodes: opened on demand, reused, replaced when unresponsive and
 * closed when idle.
 */
final class PeerConnections implements AutoCloseable {

	/**
	 * Idle connections are closed after this time. Opening one costs about 1 ms.
	 */
	static final long IDLE_TIMEOUT_MILLIS = 60_000;

	/**
	 * A connection that has received no frame for this time is probed before a call is
	 * sent over it, since the peer may have disappeared without closing it. A probe costs
	 * one round trip.
	 */
	private static final long PROBE_AFTER_MILLIS = 1_800;

	private final WireOptions options;

	private final long connectWaitMillis;

	private final ConnectionHandler handler;

	private final Map<String, Peer> peers = new ConcurrentHashMap<>();

	private volatile boolean closed;

	/**
	 * Creates an instance without open connections.
	 * @param options identity and limits
	 * @param connectWaitMillis how long a call waits for a new connection before it fails
	 * as not run; a connection that opens later is still used
	 * @param handler handles messages from other nodes
	 */
	PeerConnections(WireOptions options, long connectWaitMillis, ConnectionHandler handler) {
		this.options = options;
		this.connectWaitMillis = connectWaitMillis;
		this.handler = handler;
	}

	/**
	 * Sends a request to a node and waits for the answer.
	 * @param <T> type of the answer
	 * @param address {@code ip:port} of the node
	 * @param request the request
	 * @param timeoutMillis maximum wait
	 * @param answerType class of the answer
	 * @param afterTimeout one-way message that is sent on timeout or cancellation, or
	 * null
	 * @param cancellation cancelled when the answer is no longer needed
	 * @return the answer, or the failure with the verdict whether the request may have
	 * run
	 */
	<T> Either<CallFailure, T> call(String address, Object request, long timeoutMillis, Class<T> answerType,
			Object afterTimeout, Cancellation cancellation) {
		long start = this.options.clock().millis();
		Either<CallFailure, Peer> connected = connect(address, timeoutMillis);
		if (connected.isLeft()) {
			return Either.left(connected.getLeft());
		}
		Peer peer = connected.get();
		peer.inUse.incrementAndGet();
		try {
			long remaining = timeoutMillis - (this.options.clock().millis() - start);
			if (remaining <= 0) {
				return Either.left(new CallFailure(ExecutionVerdict.NOT_RUN, "deadline passed while connecting"));
			}
			Connection connection = peer.connection.join().get();
			if (afterTimeout != null) {
				cancellation.onCancel(() -> connection.send(afterTimeout));
			}
			Either<CallFailure, T> answer = connection.call(request, remaining, answerType);
			if (answer.isLeft() && afterTimeout != null && connection.isOpen()) {
				connection.send(afterTimeout);
			}
			return answer;
		}
		finally {
			peer.lastUsedMillis = this.options.clock().millis();
			peer.release();
		}
	}

	/**
	 * Returns the transport for messages between holders of idempotency keys.
	 * @return a transport over these connections
	 */
	KeyTransport keyTransport() {
		return new KeyTransport() {
			@Override
			public <T> Either<CallFailure, T> call(Endpoint holder, Object request, long timeoutMillis,
					Class<T> answerType) {
				return PeerConnections.this.call(holder.frameAddress(), request, timeoutMillis, answerType, null,
						new Cancellation());
			}
		};
	}

	/**
	 * Returns the transport for quota requests to control members.
	 * @return a transport over these connections
	 */
	QuotaTransport quotaTransport() {
		return (address, request, timeoutMillis) -> call(address, request, timeoutMillis, QuotaGrant.class, null,
				new Cancellation());
	}

	/**
	 * Returns the transport for requests about departures to control members. Requests
	 * are rare and members have many nodes, so connections are not kept.
	 * @return a transport over these connections
	 */
	ControlGroupDepartures.Transport departureTransport() {
		return (address, request, timeoutMillis) -> {
			try {
				return call(address, request, timeoutMillis, DepartureAnswer.class, null, new Cancellation());
			}
			finally {
				closeUnused(address);
			}
		};
	}

	private void closeUnused(String address) {
		Peer peer = this.peers.get(address);
		if (peer != null && peer.inUse.get() == 0 && this.peers.remove(address, peer)) {
			peer.close("not used any more");
		}
	}

	/**
	 * Closes connections without recent calls.
	 */
	void closeIdle() {
		long now = this.options.clock().millis();
		this.peers.forEach((address, peer) -> {
			if (peer.inUse.get() == 0 && now - peer.lastUsedMillis > IDLE_TIMEOUT_MILLIS
					&& this.peers.remove(address, peer)) {
				peer.close("idle for " + IDLE_TIMEOUT_MILLIS + " ms");
			}
		});
	}

	@Override
	public void close() {
		this.closed = true;
		this.peers.values().forEach((peer) -> peer.close("node is stopping"));
		this.peers.clear();
	}

	private Either<CallFailure, Peer> connect(String address, long timeoutMillis) {
		if (this.closed) {
			return Either.left(new CallFailure(ExecutionVerdict.NOT_RUN, "node is stopping"));
		}
		long now = this.options.clock().millis();
		Peer peer = this.peers.compute(address, (key, existing) -> isUsable(existing) ? existing : open(address, now));
		try {
			long waitMillis = Math.min(timeoutMillis, this.connectWaitMillis);
			Either<CallFailure, Connection> result = peer.connection.get(waitMillis, TimeUnit.MILLISECONDS);
			if (result.isLeft()) {
				this.peers.remove(address, peer);
				return Either.left(result.getLeft());
			}
			if (!isResponsive(result.get(), now, waitMillis)) {
				this.peers.remove(address, peer);
				peer.retire();
				return Either.left(new CallFailure(ExecutionVerdict.NOT_RUN, "no answer to a probe"));
			}
			return Either.right(peer);
		}
		catch (TimeoutException ex) {
			return Either.left(new CallFailure(ExecutionVerdict.NOT_RUN, "no connection in time"));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Either.left(new CallFailure(ExecutionVerdict.NOT_RUN, "interrupted while connecting"));
		}
		catch (ExecutionException ex) {
			this.peers.remove(address, peer);
			return Either.left(new CallFailure(ExecutionVerdict.NOT_RUN, "cannot connect: " + ex.getCause()));
		}
	}

	private static boolean isUsable(Peer peer) {
		if (peer == null) {
			return false;
		}
		Either<CallFailure, Connection> result = peer.connection.getNow(null);
		if (result == null) {
			return !peer.connection.isCompletedExceptionally();
		}
		return result.isRight() && result.get().isOpen();
	}

	private static boolean isResponsive(Connection connection, long nowMillis, long waitMillis) {
		boolean recent = nowMillis - connection.lastReceivedMillis() < PROBE_AFTER_MILLIS;
		return recent || connection.probe(waitMillis);
	}

	private Peer open(String address, long nowMillis) {
		Peer peer = new Peer(nowMillis);
		Thread.ofVirtual().name("connect " + address).start(() -> {
			try {
				peer.connection.complete(Connection.open(parse(address), this.options, this.handler));
			}
			catch (RuntimeException ex) {
				peer.connection.completeExceptionally(ex);
			}
		});
		return peer;
	}

	private static InetSocketAddress parse(String address) {
		int colon = address.lastIndexOf(':');
		return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
	}

	private static final class Peer {

		private final CompletableFuture<Either<CallFailure, Connection>> connection = new CompletableFuture<>();

		private final AtomicInteger inUse = new AtomicInteger();

		private volatile long lastUsedMillis;

		private volatile boolean retired;

		private Peer(long nowMillis) {
			this.lastUsedMillis = nowMillis;
		}

		private void release() {
			if (this.inUse.decrementAndGet() == 0 && this.retired) {
				close("replaced after a probe without an answer");
			}
		}

		/**
		 * Closes the connection when its last call has ended.
		 */
		private void retire() {
			this.retired = true;
			if (this.inUse.get() == 0) {
				close("no answer to a probe");
			}
		}

		private void close(String reason) {
			this.connection.thenAccept((result) -> result.forEach((open) -> open.close(reason)));
		}

	}

}
