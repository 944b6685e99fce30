package io.lavenderroad.control.raft;

import java.net.InetSocketAddress;
import java.util.Optional;

import io.lavenderroad.core.wire.CallFailure;
import io.lavenderroad.core.wire.Connection;
import io.lavenderroad.core.wire.WireOptions;
import io.vavr.control.Either;
import org.tinylog.Logger;

/**
 * Sends single requests to members of the group, each on a connection of its own.
 */
final class GroupClient {

	private static final long CALL_TIMEOUT_MILLIS = 1_000;

	private final ControlMember<?> member;

	private final WireOptions options;

	/**
	 * Creates a client.
	 * @param member the member that sends the requests
	 * @param options identity of the process for connections
	 */
	GroupClient(ControlMember<?> member, WireOptions options) {
		this.member = member;
		this.options = options;
	}

	/**
	 * Sends a request.
	 * @param <T> type of the response
	 * @param address {@code ip:port} of a member
	 * @param request the request
	 * @param responseType type of the response
	 * @return the response, or empty if the member cannot be reached or does not respond
	 */
	<T> Optional<T> call(String address, Object request, Class<T> responseType) {
		int colon = address.lastIndexOf(':');
		InetSocketAddress target = new InetSocketAddress(address.substring(0, colon),
				Integer.parseInt(address.substring(colon + 1)));
		Either<CallFailure, Connection> opened = Connection.open(target, this.options, this.member.handler());
		if (opened.isLeft()) {
			Logger.debug("control: Cannot connect to {} for {}: {}.", address, request, opened.getLeft().reason());
			return Optional.empty();
		}
		try (Connection connection = opened.get()) {
			return connection.call(request, CALL_TIMEOUT_MILLIS, responseType)
				.peekLeft((failure) -> Logger.debug("control: {} did not respond to {}: {}.", address, request,
						failure.reason()))
				.toJavaOptional();
		}
	}

}
