package io.lavenderroad.node;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;

import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.node.http.HeaderFields;
import io.lavenderroad.node.http.OutgoingResponse;
import io.lavenderroad.node.http.ResponseMatch;
import io.vavr.control.Either;

/**
 * The default dialect, with the header fields of {@link MeshHeaders}.
 */
final class MeshDialect implements CallDialect {

	/**
	 * Name under which the dialect is registered.
	 */
	static final String NAME = "mesh";

	private static final int MAXIMUM_KEY_LENGTH = 200;

	private static final long MILLIS_PER_SECOND = 1_000;

	@Override
	public Either<String, CallTerms> terms(HeaderFields headers) {
		String key = headers.text(MeshHeaders.IDEMPOTENCY_KEY);
		if (key.length() > MAXIMUM_KEY_LENGTH) {
			return Either.left(MeshHeaders.IDEMPOTENCY_KEY + " is longer than " + MAXIMUM_KEY_LENGTH + " characters");
		}
		Either<String, OptionalInt> deadline = number(headers, MeshHeaders.DEADLINE_MILLIS);
		Either<String, OptionalInt> budget = number(headers, MeshHeaders.ATTEMPT_BUDGET);
		return deadline.flatMap((millis) -> budget.map((retries) -> new CallTerms(headers.text(MeshHeaders.REQUEST_ID),
				headers.text(MeshHeaders.SERVICE), headers.text(MeshHeaders.CUSTOMER), key, "", millis, retries)));
	}

	@Override
	public boolean supportsIdempotencyKeys() {
		return true;
	}

	@Override
	public boolean forwards(String name) {
		return MeshHeaders.forwards(name);
	}

	@Override
	public HeaderFields backendFields(HeaderFields passed, ForwardedCallTerms terms) {
		List<String> pairs = new ArrayList<>(passed.pairs());
		pairs.addAll(List.of(MeshHeaders.DEADLINE_MILLIS, Long.toString(terms.remainingMillis()),
				MeshHeaders.ATTEMPT_BUDGET, Integer.toString(terms.attemptBudget())));
		return HeaderFields.of(pairs);
	}

	@Override
	public boolean isNotRun(int status, HeaderFields headers) {
		return headers.text(MeshHeaders.BACKEND_VERDICT).equals(ExecutionVerdict.NOT_RUN.label());
	}

	@Override
	public boolean namesRequest(HeaderFields request) {
		return false;
	}

	@Override
	public ResponseMatch match(HeaderFields request, HeaderFields answer) {
		return ResponseMatch.UNNAMED;
	}

	@Override
	public boolean acceptsUnframedBodies() {
		return false;
	}

	@Override
	public OutgoingResponse response(FinalAnswer answer) {
		List<String> fields = new ArrayList<>(answer.headers().pairs());
		add(fields, MeshHeaders.VERDICT, answer.verdict().label());
		add(fields, MeshHeaders.CONFIGURATION_VERSION, Long.toString(answer.configurationVersion()));
		if (!answer.backendVersion().isEmpty()) {
			add(fields, MeshHeaders.VERSION, answer.backendVersion());
		}
		if (!answer.reason().isEmpty()) {
			add(fields, MeshHeaders.REASON, MeshHeaders.printable(answer.reason()));
		}
		byte[] body = answer.body();
		if (answer.verdict() != ExecutionVerdict.RAN) {
			add(fields, "Content-Type", "text/plain; charset=utf-8");
			body = (answer.verdict().label() + ": " + answer.reason() + "\n").getBytes(StandardCharsets.UTF_8);
		}
		if (answer.verdict() == ExecutionVerdict.NOT_RUN && answer.retryAfterMillis() > 0) {
			add(fields, MeshHeaders.RETRY_AFTER,
					Long.toString(Math.ceilDiv(answer.retryAfterMillis(), MILLIS_PER_SECOND)));
		}
		return new OutgoingResponse(answer.status(), HeaderFields.of(fields), body, false);
	}

	private static void add(List<String> fields, String name, String value) {
		fields.add(name);
		fields.add(value);
	}

	private static Either<String, OptionalInt> number(HeaderFields headers, String name) {
		String text = headers.text(name);
		if (text.isEmpty()) {
			return Either.right(OptionalInt.empty());
		}
		try {
			long value = Long.parseLong(text);
			if (value >= 0) {
				return Either.right(OptionalInt.of((int) Math.min(value, Integer.MAX_VALUE)));
			}
		}
		catch (NumberFormatException ex) {
			// Reported to the caller below.
		}
		return Either.left(name + " is '" + text + "', not a number of zero or more");
	}

}
