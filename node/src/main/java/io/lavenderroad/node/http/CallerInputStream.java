package io.lavenderroad.node.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;

/**
 * Input of a caller's connection with a timeout for each read or a deadline for several
 * reads together. The timeout of the socket alone lets a caller send a head byte by byte
 * without end.
 */
final class CallerInputStream extends FilterInputStream {

	private static final long NO_DEADLINE = -1;

	private final Socket socket;

	private long startNanos;

	private long deadlineMillis = NO_DEADLINE;

	CallerInputStream(Socket socket) throws IOException {
		super(socket.getInputStream());
		this.socket = socket;
	}

	/**
	 * Sets the timeout of each read.
	 * @param millis timeout in milliseconds, 0 for none
	 * @throws IOException if the socket is closed
	 */
	void timeout(int millis) throws IOException {
		this.deadlineMillis = NO_DEADLINE;
		this.socket.setSoTimeout(millis);
	}

	/**
	 * Sets the deadline of all following reads together.
	 * @param millis time from now in milliseconds
	 */
	void deadline(int millis) {
		this.startNanos = System.nanoTime();
		this.deadlineMillis = millis;
	}

	@Override
	public int read() throws IOException {
		applyDeadline();
		return super.read();
	}

	@Override
	public int read(byte[] target, int offset, int length) throws IOException {
		applyDeadline();
		return super.read(target, offset, length);
	}

	private void applyDeadline() throws IOException {
		if (this.deadlineMillis == NO_DEADLINE) {
			return;
		}
		long elapsed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startNanos);
		if (elapsed >= this.deadlineMillis) {
			throw new SocketTimeoutException("the deadline has passed");
		}
		this.socket.setSoTimeout((int) (this.deadlineMillis - elapsed));
	}

}
