package io.lavenderroad.node.http;

/**
 * Memory that one request takes, from the first byte of its head until it is answered.
 * First the reader of the connection uses it, then the thread that handles the request.
 */
final class HeldRequest {

	private final CallerMemory.Account account;

	private long bytes;

	private boolean passedOn;

	HeldRequest(CallerMemory.Account account) {
		this.account = account;
	}

	void reserve(long more) throws CallerMemoryExhaustedException {
		this.account.reserve(more);
		this.bytes += more;
	}

	/**
	 * Takes over memory that is reserved already.
	 * @param more the number of bytes
	 */
	void add(long more) {
		this.bytes += more;
	}

	/**
	 * Leaves the release to the thread that handles the request.
	 */
	void passOn() {
		this.passedOn = true;
	}

	void release() {
		this.account.release(this.bytes);
	}

	void releaseUnlessPassedOn() {
		if (!this.passedOn) {
			release();
		}
	}

}
