package io.lavenderroad.distribution;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;

import org.tinylog.Logger;

/**
 * Coalesces requests for the version floor. All requests that arrive before one is sent
 * upstream share its response. A request never shares the response to one that was sent
 * before it arrived, since the floor may have risen in between.
 */
final class FloorRequests {

	private final ReentrantLock lock = new ReentrantLock();

	private final Supplier<Optional<Long>> upstream;

	private CompletableFuture<Optional<Long>> pending;

	private boolean running;

	FloorRequests(Supplier<Optional<Long>> upstream) {
		this.upstream = upstream;
	}

	/**
	 * Waits for the response to a request that is sent after this call began.
	 * @param timeoutMillis maximum wait
	 * @return the floor, or empty if it could not be confirmed
	 */
	Optional<Long> request(long timeoutMillis) {
		CompletableFuture<Optional<Long>> answer = joinPending();
		try {
			return answer.get(timeoutMillis, TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException | ExecutionException ex) {
			return Optional.empty();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Optional.empty();
		}
	}

	private CompletableFuture<Optional<Long>> joinPending() {
		this.lock.lock();
		try {
			if (this.pending == null) {
				this.pending = new CompletableFuture<>();
			}
			CompletableFuture<Optional<Long>> answer = this.pending;
			if (!this.running) {
				this.running = true;
				Thread.ofVirtual().name("floor").start(this::run);
			}
			return answer;
		}
		finally {
			this.lock.unlock();
		}
	}

	private void run() {
		for (CompletableFuture<Optional<Long>> batch = takePending(); batch != null; batch = takePending()) {
			try {
				batch.complete(this.upstream.get());
			}
			catch (RuntimeException ex) {
				Logger.warn("distribution: The request for the version floor failed: {}.", ex.getMessage());
				batch.complete(Optional.empty());
			}
		}
	}

	private CompletableFuture<Optional<Long>> takePending() {
		this.lock.lock();
		try {
			CompletableFuture<Optional<Long>> batch = this.pending;
			this.pending = null;
			this.running = batch != null;
			return batch;
		}
		finally {
			this.lock.unlock();
		}
	}

}
