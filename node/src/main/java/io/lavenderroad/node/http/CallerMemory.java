package io.lavenderroad.node.http;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Byte budget for all that callers make a process hold: heads with the cost of their
 * parsed fields, bodies, requests that wait or run, and answers that are not written yet.
 * Limits of a single request or connection do not bound their sum.
 *
 * <p>
 * While the budget is used up, whoever wants to read more waits, in the order of arrival.
 * If nothing is released for a while, or if answers exceed the budget by a quarter, the
 * connections that hold most are closed until there is room.
 */
public final class CallerMemory {

	/**
	 * Share of the heap, one in this many bytes. Answers may exceed the budget by a
	 * quarter, a body is copied once when it is complete, connections take another
	 * quarter of the heap, and the rest is left for the node itself.
	 */
	private static final long HEAP_DIVISOR = 4;

	/**
	 * How long reading waits for released memory before connections are closed. Callers
	 * that read at all take an answer of usual size in less.
	 */
	private static final long RELEASE_WAIT_MILLIS = 250;

	/**
	 * How long reading waits in all before the request is refused. Shorter than the
	 * deadlines of most calls, so that the refusal arrives.
	 */
	private static final long MAXIMUM_WAIT_MILLIS = 5_000;

	private final long maximumBytes;

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition changed = this.lock.newCondition();

	private final Set<Account> accounts = ConcurrentHashMap.newKeySet();

	private final Deque<Account> waiting = new ArrayDeque<>();

	private long usedBytes;

	/**
	 * Part of the used memory in accounts that cannot be closed: answers of the backend
	 * server that are being read.
	 */
	private long readingBytes;

	/**
	 * Creates a budget.
	 * @param maximumBytes size of the budget
	 */
	public CallerMemory(long maximumBytes) {
		this.maximumBytes = maximumBytes;
	}

	/**
	 * Creates a budget that follows from the maximum heap of the process.
	 * @return the budget
	 */
	public static CallerMemory ofHeap() {
		return new CallerMemory(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
	}

	/**
	 * Returns the size of the budget.
	 * @return the number of bytes
	 */
	public long maximumBytes() {
		return this.maximumBytes;
	}

	/**
	 * Returns how much is in use.
	 * @return the number of bytes
	 */
	public long usedBytes() {
		this.lock.lock();
		try {
			return this.usedBytes;
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Opens the account of a connection.
	 * @param close closes the connection; runs on a thread of its own
	 * @return the account
	 */
	Account open(Runnable close) {
		Account account = new Account(close);
		this.accounts.add(account);
		return account;
	}

	/**
	 * Opens an account whose owner cannot be closed to make room.
	 * @return the account
	 */
	Account open() {
		Account account = new Account(null);
		this.accounts.add(account);
		return account;
	}

	private long closingBytes() {
		return this.accounts.stream().filter((account) -> account.closing).mapToLong(Account::held).sum();
	}

	/**
	 * Closes connections until the memory that they release is enough.
	 * @param wantedBytes memory that is wanted in addition
	 */
	private void makeRoom(long wantedBytes) {
		long excess = this.usedBytes - closingBytes() + wantedBytes - this.maximumBytes;
		while (excess > 0) {
			Optional<Account> largest = this.accounts.stream()
				.filter((account) -> account.close != null && !account.closing && account.held() > 0)
				.max(Comparator.comparingLong(Account::held));
			if (largest.isEmpty()) {
				return;
			}
			excess -= largest.get().held();
			largest.get().closing = true;
			Thread.ofVirtual().name("close caller").start(largest.get().close);
		}
	}

	/**
	 * What one connection holds. The lock of the budget guards it.
	 */
	final class Account {

		private final Runnable close;

		private long requestBytes;

		private long answerBytes;

		private long wantedBytes;

		private boolean closing;

		private boolean ended;

		private Account(Runnable close) {
			this.close = close;
		}

		/**
		 * Takes memory for what is to be read. Waits while the budget is used up.
		 * @param bytes the number of bytes
		 * @throws CallerMemoryExhaustedException if the memory does not become available,
		 * or the connection is being closed
		 */
		void reserve(long bytes) throws CallerMemoryExhaustedException {
			CallerMemory.this.lock.lock();
			try {
				this.wantedBytes = bytes;
				CallerMemory.this.waiting.add(this);
				awaitRoom(bytes);
				changeRequest(bytes);
			}
			finally {
				CallerMemory.this.waiting.removeFirstOccurrence(this);
				CallerMemory.this.changed.signalAll();
				CallerMemory.this.lock.unlock();
			}
		}

		/**
		 * Releases memory that was reserved.
		 * @param bytes the number of bytes
		 */
		void release(long bytes) {
			CallerMemory.this.lock.lock();
			try {
				changeRequest(-bytes);
				removeIfEmpty();
			}
			finally {
				CallerMemory.this.lock.unlock();
			}
		}

		/**
		 * Releases all memory and ends every wait for more.
		 */
		void releaseAll() {
			CallerMemory.this.lock.lock();
			try {
				this.closing = true;
				this.ended = true;
				changeRequest(-this.requestBytes);
				changeUsed(-this.answerBytes);
				this.answerBytes = 0;
				removeIfEmpty();
			}
			finally {
				CallerMemory.this.lock.unlock();
			}
		}

		/**
		 * Ends every wait for more memory.
		 */
		void cancel() {
			CallerMemory.this.lock.lock();
			try {
				this.closing = true;
				CallerMemory.this.changed.signalAll();
			}
			finally {
				CallerMemory.this.lock.unlock();
			}
		}

		/**
		 * Records an answer that waits to be written.
		 * @param bytes its size
		 */
		void addAnswer(long bytes) {
			CallerMemory.this.lock.lock();
			try {
				if (!this.ended) {
					this.answerBytes += bytes;
					changeUsed(bytes);
					if (CallerMemory.this.usedBytes > CallerMemory.this.maximumBytes / 4 * 5) {
						makeRoom(0);
					}
				}
			}
			finally {
				CallerMemory.this.lock.unlock();
			}
		}

		/**
		 * Records that an answer was written.
		 * @param bytes its size
		 */
		void removeAnswer(long bytes) {
			CallerMemory.this.lock.lock();
			try {
				if (!this.ended) {
					this.answerBytes -= bytes;
					changeUsed(-bytes);
				}
			}
			finally {
				CallerMemory.this.lock.unlock();
			}
		}

		/**
		 * Returns the size of the answers that wait to be written.
		 * @return the number of bytes
		 */
		long answerBytes() {
			CallerMemory.this.lock.lock();
			try {
				return this.answerBytes;
			}
			finally {
				CallerMemory.this.lock.unlock();
			}
		}

		/**
		 * Records that no answer will be written any more. Requests that still run keep
		 * what they reserved until they release it.
		 */
		void end() {
			CallerMemory.this.lock.lock();
			try {
				this.ended = true;
				changeUsed(-this.answerBytes);
				this.answerBytes = 0;
				removeIfEmpty();
			}
			finally {
				CallerMemory.this.lock.unlock();
			}
		}

		/**
		 * Returns whether waits for memory end, for example as the connection is closed
		 * to make room.
		 * @return true from the decision on
		 */
		boolean isClosing() {
			CallerMemory.this.lock.lock();
			try {
				return this.closing;
			}
			finally {
				CallerMemory.this.lock.unlock();
			}
		}

		private long held() {
			return this.requestBytes + this.answerBytes;
		}

		private void awaitRoom(long bytes) throws CallerMemoryExhaustedException {
			long start = System.nanoTime();
			long waitMillis = 0;
			while (this.closing || !isNext() || !hasRoom(bytes)) {
				if (this.closing || bytes > CallerMemory.this.maximumBytes || waitMillis >= MAXIMUM_WAIT_MILLIS) {
					throw new CallerMemoryExhaustedException(CallerMemory.this.maximumBytes);
				}
				if (waitMillis >= RELEASE_WAIT_MILLIS && isNext()) {
					makeRoom(bytes);
				}
				awaitChange();
				waitMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
			}
		}

		/**
		 * Returns whether memory is available. An answer of the backend server is for a
		 * moment in no account, between its reading and the queue of its caller;
		 * therefore all answers that are being read take half of the budget, or a single
		 * one any part.
		 * @param bytes the number of bytes
		 * @return true if they can be reserved
		 */
		private boolean hasRoom(long bytes) {
			return !isReadingFull() && CallerMemory.this.usedBytes + bytes <= CallerMemory.this.maximumBytes;
		}

		private boolean isReadingFull() {
			long others = CallerMemory.this.readingBytes - this.requestBytes;
			return this.close == null && others > 0
					&& CallerMemory.this.readingBytes + this.wantedBytes > CallerMemory.this.maximumBytes / 2;
		}

		// Answers that wait only for the end of other answers do not hold up callers, for
		// whom there is room.
		private boolean isNext() {
			for (Account account : CallerMemory.this.waiting) {
				if (account == this) {
					return true;
				}
				if (!account.isReadingFull()) {
					return false;
				}
			}
			return false;
		}

		private void changeRequest(long bytes) {
			this.requestBytes += bytes;
			if (this.close == null) {
				CallerMemory.this.readingBytes += bytes;
			}
			changeUsed(bytes);
		}

		private void awaitChange() throws CallerMemoryExhaustedException {
			try {
				CallerMemory.this.changed.await(RELEASE_WAIT_MILLIS, TimeUnit.MILLISECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				throw new CallerMemoryExhaustedException(CallerMemory.this.maximumBytes);
			}
		}

		private void changeUsed(long bytes) {
			CallerMemory.this.usedBytes += bytes;
			CallerMemory.this.changed.signalAll();
		}

		private void removeIfEmpty() {
			if (this.ended && held() == 0) {
				CallerMemory.this.accounts.remove(this);
			}
		}

	}

}
