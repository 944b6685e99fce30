package io.lavenderroad.node;

import io.lavenderroad.node.http.HeaderFields;
import io.lavenderroad.node.http.OutgoingResponse;
import io.lavenderroad.node.http.ResponseMatch;
import io.vavr.control.Either;

/**
 * Fake dialect in which backend servers name the request of each answer in {@code Id} and
 * state in {@code Not-Run} that they have not run it.
 */
final class NamingDialect implements CallDialect {

	private final MeshDialect mesh = new MeshDialect();

	@Override
	public Either<String, CallTerms> terms(HeaderFields headers) {
		return this.mesh.terms(headers);
	}

	@Override
	public boolean supportsIdempotencyKeys() {
		return false;
	}

	@Override
	public boolean forwards(String name) {
		return true;
	}

	@Override
	public HeaderFields backendFields(HeaderFields passed, ForwardedCallTerms terms) {
		return passed;
	}

	@Override
	public boolean isNotRun(int status, HeaderFields headers) {
		return headers.first("Not-Run").isPresent();
	}

	@Override
	public boolean namesRequest(HeaderFields request) {
		return request.first("Id").isPresent();
	}

	@Override
	public ResponseMatch match(HeaderFields request, HeaderFields answer) {
		return answer.first("Id")
			.map((id) -> id.equals(request.text("Id")) ? ResponseMatch.SAME : ResponseMatch.OTHER)
			.orElse(ResponseMatch.UNNAMED);
	}

	@Override
	public boolean acceptsUnframedBodies() {
		return true;
	}

	@Override
	public OutgoingResponse response(FinalAnswer answer) {
		return this.mesh.response(answer);
	}

}
