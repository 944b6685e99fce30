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
 * Combines requests for the version floor. All requests that arrive before one is sent
 * upwards share its answer; a request never shares an answer that was asked for before it
 * arrived, since the floor may have risen.
 */
final class FloorRequests {

	private final ReentrantLock lock = new ReentrantLock();

	private final Supplier<Optional<Long>> upstream;

	private CompletableFuture<Optional<Long>> waiting;

	private boolean running;

	FloorRequests(Supplier<Optional<Long>> upstream) {
		this.upstream = upstream;
	}

	/**
	 * Waits for an answer that was asked for after this call began.
	 * @param timeoutMillis longest wait
	 * @return the floor, or empty if it could not be confirmed
	 */
	Optional<Long> request(long timeoutMillis) {
		CompletableFuture<Optional<Long>> answer = join();
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

	private CompletableFuture<Optional<Long>> join() {
		this.lock.lock();
		try {
			if (this.waiting == null) {
				this.waiting = new CompletableFuture<>();
			}
			CompletableFuture<Optional<Long>> answer = this.waiting;
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
		for (CompletableFuture<Optional<Long>> batch = take(); batch != null; batch = take()) {
			try {
				batch.complete(this.upstream.get());
			}
			catch (RuntimeException ex) {
				Logger.warn("distribution: Asking for the version floor failed: {}.", ex.getMessage());
				batch.complete(Optional.empty());
			}
		}
	}

	private CompletableFuture<Optional<Long>> take() {
		this.lock.lock();
		try {
			CompletableFuture<Optional<Long>> batch = this.waiting;
			this.waiting = null;
			this.running = batch != null;
			return batch;
		}
		finally {
			this.lock.unlock();
		}
	}

}
