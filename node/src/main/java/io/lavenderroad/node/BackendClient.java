package io.lavenderroad.node;

import java.util.List;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;

import io.lavenderroad.node.http.BackendExchange;
import io.lavenderroad.node.http.BackendFailure;
import io.lavenderroad.node.http.BackendRequest;
import io.lavenderroad.node.http.BackendResponse;
import io.lavenderroad.node.http.Cancellation;
import io.lavenderroad.node.http.HeaderFields;
import io.lavenderroad.node.http.ResponseMatch;
import io.vavr.control.Either;

/**
 * Sends calls to the local backend server over HTTP/1.1. Redirects are returned to the
 * caller and never followed, and no request is sent twice.
 */
final class BackendClient {

	/**
	 * The deadline passed to the backend server is shortened by this margin, so that an
	 * answer it sends at its deadline still arrives and the connection can be reused.
	 */
	private static final int MARGIN_MILLIS = 10;

	/**
	 * How long callers avoid an endpoint whose backend server accepts no connections.
	 */
	private static final int AVOID_UNREACHABLE_MILLIS = 500;

	private final BackendExchange exchange;

	private final CallDialect dialect;

	private final String authority;

	private final BooleanSupplier hasTeams;

	BackendClient(BackendExchange exchange, CallDialect dialect, String authority, BooleanSupplier hasTeams) {
		this.hasTeams = hasTeams;
		this.exchange = exchange;
		this.dialect = dialect;
		this.authority = authority;
	}

	/**
	 * Sends one call and reads its answer.
	 * @param request the call
	 * @param backendId id of the backend server that must run the call, empty if it has
	 * none
	 * @param remainingMillis time until the deadline
	 * @param cancellation ends the exchange early
	 * @param observer receives what the exchange shows about the backend server
	 * @return the outcome
	 */
	CallAnswer run(CallRequest request, String backendId, long remainingMillis, Cancellation cancellation,
			BackendObserver observer) {
		if (!request.target().startsWith("/")) {
			return CallAnswer.notRun(HttpStatus.BAD_REQUEST, "path does not start with a slash");
		}
		if (cancellation.isCancelled()) {
			return CallAnswer.notRun(HttpStatus.UNAVAILABLE, "caller has gone");
		}
		ForwardedCallTerms terms = new ForwardedCallTerms(Math.max(1, remainingMillis - MARGIN_MILLIS),
				request.attemptBudget(), request.metadata().callerService(), backendId, request.metadata().team());
		HeaderFields fields = this.dialect.backendFields(passed(request), terms);
		BackendRequest sent = new BackendRequest(request.method(), request.target(), fields, request.body(),
				(answer) -> this.dialect.match(fields, answer), this::statesNotRun);
		Either<BackendFailure, BackendResponse> response = this.exchange.run(sent, remainingMillis, cancellation);
		if (response.isLeft() && response.getLeft().kind() == BackendFailure.Kind.UNREACHABLE) {
			observer.unreachable();
		}
		response.forEach((answer) -> observer.answered(this.dialect.serverLoad(answer.headers()), coldMillis(answer)));
		return response.fold(BackendClient::failure, (answer) -> answer(fields, answer));
	}

	/**
	 * Reads a page of the backend server, such as its health or load.
	 * @param path path of the page
	 * @param timeoutMillis maximum wait
	 * @return the answer, or the failure
	 */
	Either<BackendFailure, BackendResponse> get(String path, long timeoutMillis) {
		BackendRequest request = new BackendRequest("GET", path, HeaderFields.of(List.of("Host", this.authority)),
				new byte[0], (answer) -> ResponseMatch.UNNAMED, this::statesNotRun);
		return this.exchange.run(request, timeoutMillis, new Cancellation());
	}

	/**
	 * Returns the remaining cold time that an answer states.
	 * @param response the answer
	 * @return milliseconds, or empty if the answer states none or an impossible one
	 */
	OptionalLong coldMillis(BackendResponse response) {
		return this.dialect.coldMillis(response.headers());
	}

	// The entry node has selected the fields. If teams exist here but not yet in its
	// configuration, it has passed on an access key.
	private HeaderFields passed(CallRequest request) {
		HeaderFields fields = HeaderFields.of(request.headers());
		return this.hasTeams.getAsBoolean() ? fields.endToEnd((name) -> this.dialect.forwardsRequestField(name, true))
				: fields;
	}

	private CallAnswer answer(HeaderFields request, BackendResponse response) {
		if (statesNotRun(response)) {
			return isCertain(request, response)
					? CallAnswer.notRun(HttpStatus.UNAVAILABLE, "backend server shed the request").asBackendRefusal()
					: CallAnswer.mayHaveRun(HttpStatus.BAD_GATEWAY, "backend server shed a request without naming it");
		}
		if (!response.framed() && !this.dialect.acceptsUnframedBodies()) {
			return CallAnswer.mayHaveRun(HttpStatus.BAD_GATEWAY,
					"backend server stated no body length, so the answer may be partial");
		}
		return CallAnswer.ran(response.status(), response.headers().endToEnd(this.dialect::forwards).pairs(),
				response.body());
	}

	private boolean statesNotRun(BackendResponse response) {
		return this.dialect.isNotRun(response.status(), response.headers());
	}

	private boolean isCertain(HeaderFields request, BackendResponse response) {
		return !this.dialect.namesRequest(request)
				|| this.dialect.match(request, response.headers()) == ResponseMatch.SAME;
	}

	private static CallAnswer failure(BackendFailure failure) {
		return switch (failure.kind()) {
			case UNREACHABLE -> CallAnswer.notRun(HttpStatus.UNAVAILABLE, failure.reason())
				.withAvoidance(Avoidance.ofAllCalls(AVOID_UNREACHABLE_MILLIS));
			case NOT_CONNECTED -> CallAnswer.notRun(HttpStatus.GATEWAY_TIMEOUT, failure.reason());
			case OVERDUE -> CallAnswer.mayHaveRun(HttpStatus.GATEWAY_TIMEOUT, failure.reason());
			case CANCELLED -> CallAnswer.mayHaveRun(HttpStatus.BAD_GATEWAY, failure.reason());
			case BROKEN -> CallAnswer.mayHaveRun(HttpStatus.BAD_GATEWAY,
					"backend server broke the exchange: " + MeshHeaders.printable(failure.reason()));
		};
	}

}
