package io.lavenderroad.node.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongSupplier;

/**
 * Responses of one connection in the order of its requests. The reader of the connection
 * adds them, the writer removes them. When either of them ends, the other one does not
 * wait here any longer, whatever the queue holds.
 */
final class ResponseQueue {

	private final int maximumSize;

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition changed = this.lock.newCondition();

	private final Deque<PendingResponse> pending = new ArrayDeque<>();

	private boolean readerEnded;

	private boolean closed;

	/**
	 * Creates an empty queue.
	 * @param maximumSize maximum number of responses; the reader waits while it is
	 * reached
	 */
	ResponseQueue(int maximumSize) {
		this.maximumSize = maximumSize;
	}

	/**
	 * Adds the response to a request that was read. Waits while the queue is full.
	 * @param response the response
	 * @return false if the connection is closed after an earlier response; the request
	 * must not be handled then
	 * @throws InterruptedException if the thread is interrupted
	 */
	boolean add(PendingResponse response) throws InterruptedException {
		this.lock.lockInterruptibly();
		try {
			while (!this.closed && this.pending.size() >= this.maximumSize) {
				this.changed.await();
			}
			if (this.closed) {
				return false;
			}
			this.pending.add(response);
			this.changed.signalAll();
			return true;
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Waits until another request may be read: few bytes of answers wait to be written,
	 * or no response does.
	 * @param answerBytes returns the size of the answers that wait to be written
	 * @param maximumBytes maximum size of these answers
	 * @throws InterruptedException if the thread is interrupted
	 */
	void awaitWindow(LongSupplier answerBytes, long maximumBytes) throws InterruptedException {
		this.lock.lockInterruptibly();
		try {
			while (!this.closed && !this.pending.isEmpty() && answerBytes.getAsLong() > maximumBytes) {
				this.changed.await();
			}
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Waits until all responses are written.
	 * @return false if the connection is closed after one of them
	 * @throws InterruptedException if the thread is interrupted
	 */
	boolean awaitWritten() throws InterruptedException {
		this.lock.lockInterruptibly();
		try {
			while (!this.closed && !this.pending.isEmpty()) {
				this.changed.await();
			}
			return !this.closed;
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Waits for the response that is to be written next. It stays in the queue.
	 * @return the response, or empty if all are written and no further one can follow
	 * @throws InterruptedException if the thread is interrupted
	 */
	Optional<PendingResponse> awaitNext() throws InterruptedException {
		this.lock.lockInterruptibly();
		try {
			while (this.pending.isEmpty() && !this.readerEnded) {
				this.changed.await();
			}
			return Optional.ofNullable(this.pending.peek());
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Removes the response that was written.
	 */
	void removeWritten() {
		this.lock.lock();
		try {
			this.pending.poll();
			this.changed.signalAll();
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Closes the queue if no response waits behind the one that is to be written next.
	 * @return whether the queue is closed
	 */
	boolean closeIfNoneFollows() {
		this.lock.lock();
		try {
			if (this.pending.size() <= 1) {
				close();
			}
			return this.closed;
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Refuses further responses. Called when the writer ends, or before it writes the
	 * last response.
	 */
	void close() {
		this.lock.lock();
		try {
			this.closed = true;
			this.changed.signalAll();
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Records that no further request will be read.
	 * @return the responses that are not written yet
	 */
	List<PendingResponse> endReading() {
		this.lock.lock();
		try {
			this.readerEnded = true;
			this.changed.signalAll();
			return List.copyOf(this.pending);
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Returns the number of responses that are not written yet.
	 * @return the number
	 */
	int size() {
		this.lock.lock();
		try {
			return this.pending.size();
		}
		finally {
			this.lock.unlock();
		}
	}

}
