package io.lavenderroad.node.http;

import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;

import io.vavr.control.Either;

/**
 * Runs requests at the backend server over kept connections. Nothing is sent twice.
 */
public final class BackendExchange {

	private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

	/**
	 * Bodies of all answers that are being read.
	 */
	private static final long MOST_ANSWER_BYTES = 16L * 1024 * 1024;

	private final BodyMemory memory = new BodyMemory(MOST_ANSWER_BYTES);

	private final BackendPool pool;

	private final ScheduledExecutorService timer;

	private final int maximumAnswerBytes;

	private final ToLongFunction<HeaderFields> keepAliveMillis;

	/**
	 * Creates it.
	 * @param pool connections to the backend server
	 * @param timer closes connections whose answer is overdue
	 * @param maximumAnswerBytes maximum size of the body of an answer
	 * @param keepAliveMillis reads how long the backend server keeps a connection, 0 if
	 * it does not say
	 */
	public BackendExchange(BackendPool pool, ScheduledExecutorService timer, int maximumAnswerBytes,
			ToLongFunction<HeaderFields> keepAliveMillis) {
		this.pool = pool;
		this.timer = timer;
		this.maximumAnswerBytes = maximumAnswerBytes;
		this.keepAliveMillis = keepAliveMillis;
	}

	/**
	 * Runs one request.
	 * @param request the request
	 * @param remainingMillis time until the answer is due
	 * @param cancellation ends the exchange early
	 * @return the answer, or why there is none
	 */
	public Either<BackendFailure, BackendResponse> run(BackendRequest request, long remainingMillis,
			Cancellation cancellation) {
		BackendConnection connection;
		try {
			BackendConnection idle = this.pool.takeIdle();
			connection = (idle != null) ? idle
					: this.pool.open((int) Math.clamp(remainingMillis, 1, CONNECT_TIMEOUT_MILLIS));
		}
		catch (ConnectException | SocketTimeoutException ex) {
			return Either.left(BackendFailure.UNREACHABLE);
		}
		catch (IOException ex) {
			return Either.left(new BackendFailure(BackendFailure.Kind.UNREACHABLE, ex.getMessage()));
		}
		return run(connection, request, remainingMillis, cancellation);
	}

	private Either<BackendFailure, BackendResponse> run(BackendConnection connection, BackendRequest request,
			long remainingMillis, Cancellation cancellation) {
		Ending ending = new Ending();
		ScheduledFuture<?> overdue = this.timer.schedule(() -> ending.end(connection, BackendFailure.OVERDUE),
				remainingMillis, TimeUnit.MILLISECONDS);
		cancellation.onCancel(() -> ending.end(connection, BackendFailure.CANCELLED));
		try {
			BackendResponse response = connection.exchange(request, this.maximumAnswerBytes, this.memory);
			if (ending.finish()) {
				this.pool.giveBack(connection, this.keepAliveMillis.applyAsLong(response.headers()));
			}
			return Either.right(response);
		}
		catch (IOException | RuntimeException ex) {
			connection.close();
			return Either.left(ending.cause()
				.orElse(new BackendFailure(BackendFailure.Kind.BROKEN, String.valueOf(ex.getMessage()))));
		}
		finally {
			overdue.cancel(false);
		}
	}

}
