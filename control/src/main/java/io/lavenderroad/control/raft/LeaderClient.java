package io.lavenderroad.control.raft;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;

import io.lavenderroad.core.wire.CallFailure;
import io.lavenderroad.core.wire.Connection;
import io.lavenderroad.core.wire.ConnectionHandler;
import io.lavenderroad.core.wire.WireOptions;
import io.vavr.control.Either;
import org.tinylog.Logger;

/**
 * Sends requests to the leader while that is another member, over one connection that is
 * kept until the leader changes.
 */
public final class LeaderClient implements AutoCloseable {

	private static final long CALL_TIMEOUT_MILLIS = 1_000;

	private final WireOptions options;

	private final ConnectionHandler handler;

	private final Supplier<Optional<String>> leaderAddress;

	/**
	 * Guards the connection and its address.
	 */
	private final ReentrantLock lock = new ReentrantLock();

	private String address = "";

	private Connection connection;

	/**
	 * Creates a client without a connection.
	 * @param options identity of the process for connections
	 * @param handler handles messages of the leader
	 * @param leaderAddress supplies {@code ip:port} of the leader if that is another
	 * member
	 */
	public LeaderClient(WireOptions options, ConnectionHandler handler, Supplier<Optional<String>> leaderAddress) {
		this.options = options;
		this.handler = handler;
		this.leaderAddress = leaderAddress;
	}

	/**
	 * Sends a request and waits for the answer.
	 * @param <T> type of the answer
	 * @param request the request
	 * @param answerType class of the answer
	 * @return the answer, or empty if no other member leads or it does not answer
	 */
	public <T> Optional<T> call(Object request, Class<T> answerType) {
		return this.leaderAddress.get()
			.flatMap(this::connection)
			.flatMap((open) -> open.call(request, CALL_TIMEOUT_MILLIS, answerType)
				.peekLeft((failure) -> Logger.debug("control: The leader did not answer {}: {}.",
						request.getClass().getSimpleName(), failure.reason()))
				.toJavaOptional());
	}

	@Override
	public void close() {
		this.lock.lock();
		try {
			closeConnection("member is stopping");
		}
		finally {
			this.lock.unlock();
		}
	}

	private Optional<Connection> connection(String leader) {
		this.lock.lock();
		try {
			if (this.connection == null || !this.connection.isOpen() || !leader.equals(this.address)) {
				closeConnection("another member leads");
				connect(leader);
			}
			return Optional.ofNullable(this.connection);
		}
		finally {
			this.lock.unlock();
		}
	}

	private void connect(String leader) {
		int colon = leader.lastIndexOf(':');
		InetSocketAddress target = new InetSocketAddress(leader.substring(0, colon),
				Integer.parseInt(leader.substring(colon + 1)));
		Either<CallFailure, Connection> opened = Connection.open(target, this.options, this.handler);
		opened.peekLeft((failure) -> Logger.debug("control: Cannot connect to the leader at {}: {}.", leader,
				failure.reason()));
		this.address = leader;
		this.connection = opened.getOrElse(() -> null);
	}

	private void closeConnection(String reason) {
		if (this.connection != null) {
			this.connection.close(reason);
			this.connection = null;
		}
	}

}
