package io.lavenderroad.control.raft;

import java.net.InetSocketAddress;
import java.util.Optional;

import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.core.wire.CallFailure;
import io.lavenderroad.core.wire.Connection;
import io.lavenderroad.core.wire.WireOptions;
import io.vavr.control.Either;
import org.tinylog.Logger;

/**
 * Sends messages to one peer, one at a time. A connection on which a call got no response
 * is closed and replaced, as it may be permanently broken without having been closed.
 */
final class PeerTask implements Runnable {

	private final ControlMember<?> member;

	private final PeerProgress peer;

	private final WireOptions options;

	private final long callTimeoutMillis;

	private Connection connection;

	private boolean unreachableLogged;

	PeerTask(ControlMember<?> member, PeerProgress peer, WireOptions options, long callTimeoutMillis) {
		this.member = member;
		this.peer = peer;
		this.options = options;
		this.callTimeoutMillis = callTimeoutMillis;
	}

	@Override
	public void run() {
		try {
			Optional<PeerMessage> message = this.member.awaitMessage(this.peer);
			while (message.isPresent()) {
				sendOrFail(message.get());
				message = this.member.awaitMessage(this.peer);
			}
		}
		finally {
			if (this.connection != null) {
				this.connection.close("peer is no longer needed");
			}
		}
	}

	static boolean isValidAddress(String address) {
		return address.matches(".+:[0-9]{1,5}")
				&& Integer.parseInt(address.substring(address.lastIndexOf(':') + 1)) < 65_536;
	}

	private void sendOrFail(PeerMessage message) {
		try {
			send(message);
		}
		catch (RuntimeException ex) {
			Logger.error(ex, "control: Sending to member {} failed.", this.peer.member.id());
			this.member.sendFailed(this.peer.member.id(), message);
		}
	}

	private void send(PeerMessage message) {
		Either<CallFailure, Connection> open = connect();
		if (open.isLeft()) {
			logUnreachable(open.getLeft().reason());
			this.member.sendFailed(this.peer.member.id(), message);
			return;
		}
		this.unreachableLogged = false;
		if (!message.expectsResponse()) {
			open.get().send(message.message());
			return;
		}
		Either<CallFailure, Object> answer = open.get().call(message.message(), this.callTimeoutMillis, Object.class);
		if (answer.isLeft()) {
			open.get().close(answer.getLeft().reason());
			this.member.sendFailed(this.peer.member.id(), message);
		}
		else {
			this.member.responseReceived(this.peer.member.id(), message, answer.get());
		}
	}

	private Either<CallFailure, Connection> connect() {
		if (this.connection != null && this.connection.isOpen()) {
			return Either.right(this.connection);
		}
		String address = this.peer.member.address();
		int colon = address.lastIndexOf(':');
		InetSocketAddress target = new InetSocketAddress(address.substring(0, colon),
				Integer.parseInt(address.substring(colon + 1)));
		Either<CallFailure, Connection> result = Connection.open(target, this.options, this.member.handler())
			.flatMap(this::checkIdentity);
		result.forEach((opened) -> this.connection = opened);
		return result;
	}

	/**
	 * Checks that the process at the address of the member is that member. It may be
	 * another one, such as a process that was restarted with a new id after its disk was
	 * lost.
	 * @param opened connection to the process
	 * @return the connection, or the reason for which it is not used
	 */
	private Either<CallFailure, Connection> checkIdentity(Connection opened) {
		String actualId = opened.peer().senderId();
		if (actualId.equals(this.peer.member.id())) {
			return Either.right(opened);
		}
		opened.close("another member is meant");
		return Either.left(new CallFailure(ExecutionVerdict.NOT_RUN, "the process there is " + actualId));
	}

	private void logUnreachable(String reason) {
		if (!this.unreachableLogged) {
			this.unreachableLogged = true;
			Logger.info("control: Member {} is unreachable: {}.", this.peer.member.id(), reason);
		}
	}

}
