package io.lavenderroad.node;

import java.util.List;

import io.lavenderroad.node.http.BackendExchange;
import io.lavenderroad.node.http.BackendFailure;
import io.lavenderroad.node.http.BackendRequest;
import io.lavenderroad.node.http.BackendResponse;
import io.lavenderroad.node.http.Cancellation;
import io.lavenderroad.node.http.HeaderFields;
import io.vavr.control.Either;

/**
 * Calls the backend server beside the node over HTTP/1.1. Redirects are passed on and
 * never followed, and nothing is sent twice.
 */
final class BackendClient {

	/**
	 * The backend server is told that much less time than is left, so that its own answer
	 * at the deadline arrives and the connection is kept.
	 */
	private static final int MARGIN_MILLIS = 10;

	/**
	 * How long an endpoint is passed over whose backend server accepts no connections.
	 */
	private static final int AVOID_UNREACHABLE_MILLIS = 500;

	private final BackendExchange exchange;

	private final CallDialect dialect;

	private final String authority;

	BackendClient(BackendExchange exchange, CallDialect dialect, String authority) {
		this.exchange = exchange;
		this.dialect = dialect;
		this.authority = authority;
	}

	/**
	 * Runs one call.
	 * @param request the call
	 * @param backendId id of the backend server that is meant, empty if it has none
	 * @param remainingMillis time until the answer is due
	 * @param cancellation ends the exchange early
	 * @return the outcome
	 */
	CallAnswer run(CallRequest request, String backendId, long remainingMillis, Cancellation cancellation) {
		if (!request.target().startsWith("/")) {
			return CallAnswer.notRun(HttpStatus.BAD_REQUEST, "path does not start with a slash");
		}
		if (cancellation.isCancelled()) {
			return CallAnswer.notRun(HttpStatus.UNAVAILABLE, "caller has gone");
		}
		BackendTerms terms = new BackendTerms(Math.max(1, remainingMillis - MARGIN_MILLIS), request.attemptBudget(),
				request.traits().callerService(), backendId);
		HeaderFields fields = this.dialect.backendFields(HeaderFields.of(request.headers()), terms);
		BackendRequest sent = new BackendRequest(request.method(), request.target(), fields, request.body(),
				(answer) -> this.dialect.belongs(fields, answer));
		return this.exchange.run(sent, remainingMillis, cancellation).fold(BackendClient::failure, this::answer);
	}

	/**
	 * Reads one page of the backend server, for health and load.
	 * @param path path of the page
	 * @param timeoutMillis longest wait
	 * @return the answer, or why there is none
	 */
	Either<BackendFailure, BackendResponse> get(String path, long timeoutMillis) {
		BackendRequest request = new BackendRequest("GET", path, HeaderFields.of(List.of("Host", this.authority)),
				new byte[0], (answer) -> true);
		return this.exchange.run(request, timeoutMillis, new Cancellation());
	}

	private CallAnswer answer(BackendResponse response) {
		if (this.dialect.isNotRun(response.status(), response.headers())) {
			return CallAnswer.notRun(HttpStatus.UNAVAILABLE, "backend server shed the request").byBackend();
		}
		if (!response.framed() && !this.dialect.acceptsUnframedBodies()) {
			return CallAnswer.mayHaveRun(HttpStatus.BAD_GATEWAY,
					"backend server stated no body length, so the answer may be partial");
		}
		return CallAnswer.ran(response.status(), response.headers().endToEnd(this.dialect::passesOn).pairs(),
				response.body());
	}

	private static CallAnswer failure(BackendFailure failure) {
		return switch (failure.kind()) {
			case UNREACHABLE -> CallAnswer.notRun(HttpStatus.UNAVAILABLE, failure.reason())
				.avoid(Avoidance.ofAllCalls(AVOID_UNREACHABLE_MILLIS));
			case OVERDUE -> CallAnswer.mayHaveRun(HttpStatus.GATEWAY_TIMEOUT, failure.reason());
			case CANCELLED -> CallAnswer.mayHaveRun(HttpStatus.BAD_GATEWAY, failure.reason());
			case BROKEN -> CallAnswer.mayHaveRun(HttpStatus.BAD_GATEWAY,
					"backend server broke the exchange: " + MeshHeaders.printable(failure.reason()));
		};
	}

}
