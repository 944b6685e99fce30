package io.lavenderroad.node.http;

import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;

import io.vavr.control.Either;

/**
 * Sends requests to the backend server over persistent connections. A request is never
 * retried.
 */
public final class BackendExchange {

	private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

	private final CallerMemory memory;

	private final BackendPool pool;

	private final ScheduledExecutorService timer;

	private final int maximumResponseBytes;

	private final ToLongFunction<HeaderFields> keepAliveMillis;

	/**
	 * Creates an exchange.
	 * @param pool connections to the backend server
	 * @param memory budget that the bodies of all responses share with what callers send
	 * @param timer closes connections whose response is not complete in time
	 * @param maximumResponseBytes maximum size of a response body
	 * @param keepAliveMillis returns the keep-alive time stated in the response of the
	 * backend server, in milliseconds, 0 if it states none
	 */
	public BackendExchange(BackendPool pool, CallerMemory memory, ScheduledExecutorService timer,
			int maximumResponseBytes, ToLongFunction<HeaderFields> keepAliveMillis) {
		this.pool = pool;
		this.memory = memory;
		this.timer = timer;
		this.maximumResponseBytes = maximumResponseBytes;
		this.keepAliveMillis = keepAliveMillis;
	}

	/**
	 * Sends one request and waits for its response.
	 * @param request the request
	 * @param remainingMillis timeout of the exchange
	 * @param cancellation aborts the exchange
	 * @return the response, or why there is none
	 */
	public Either<BackendFailure, BackendResponse> run(BackendRequest request, long remainingMillis,
			Cancellation cancellation) {
		BackendConnection connection;
		try {
			BackendConnection idle = this.pool.takeIdle(request);
			connection = (idle != null) ? idle
					: this.pool.open((int) Math.clamp(remainingMillis, 1, CONNECT_TIMEOUT_MILLIS));
		}
		catch (SocketTimeoutException ex) {
			return Either.left((remainingMillis < CONNECT_TIMEOUT_MILLIS) ? BackendFailure.NOT_CONNECTED
					: BackendFailure.UNREACHABLE);
		}
		catch (ConnectException ex) {
			return Either.left(BackendFailure.UNREACHABLE);
		}
		catch (IOException ex) {
			return Either.left(new BackendFailure(BackendFailure.Kind.UNREACHABLE, ex.getMessage()));
		}
		return run(connection, request, remainingMillis, cancellation);
	}

	private Either<BackendFailure, BackendResponse> run(BackendConnection connection, BackendRequest request,
			long remainingMillis, Cancellation cancellation) {
		ExchangeState state = new ExchangeState();
		CallerMemory.Account account = this.memory.open();
		Consumer<BackendFailure> abort = (failure) -> {
			state.abort(connection, failure);
			account.cancel();
		};
		ScheduledFuture<?> timeout = this.timer.schedule(() -> abort.accept(BackendFailure.OVERDUE), remainingMillis,
				TimeUnit.MILLISECONDS);
		cancellation.onCancel(() -> abort.accept(BackendFailure.CANCELLED));
		try {
			BackendResponse response = connection.exchange(request, this.maximumResponseBytes, account);
			if (state.complete()) {
				this.pool.release(connection, this.keepAliveMillis.applyAsLong(response.headers()));
			}
			return Either.right(response);
		}
		catch (IOException | RuntimeException ex) {
			connection.close();
			return Either.left(state.failure()
				.orElse(new BackendFailure(BackendFailure.Kind.BROKEN, String.valueOf(ex.getMessage()))));
		}
		finally {
			timeout.cancel(false);
			account.releaseAll();
		}
	}

}
