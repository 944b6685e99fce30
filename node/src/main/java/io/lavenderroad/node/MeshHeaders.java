package io.lavenderroad.node;

import java.util.Set;

/**
 * Header names of the default dialect.
 */
final class MeshHeaders {

	static final String SERVICE = "Mesh-Service";

	static final String CUSTOMER = "Mesh-Customer";

	static final String DEADLINE_MILLIS = "Mesh-Deadline-Millis";

	static final String ATTEMPT_BUDGET = "Mesh-Attempt-Budget";

	static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	static final String VERDICT = "Mesh-Verdict";

	static final String REASON = "Mesh-Reason";

	static final String VERSION = "Mesh-Version";

	static final String CONFIGURATION_VERSION = "Mesh-Configuration-Version";

	/**
	 * With the value {@code not-run}, a backend server states that it refused the request
	 * without running any part of it. The name differs from {@link #VERDICT}, so that a
	 * backend server that copies the headers of a nested answer makes no false statement.
	 */
	static final String BACKEND_VERDICT = "Mesh-Backend-Verdict";

	static final String RETRY_AFTER = "Retry-After";

	/**
	 * Id of the request in the logs.
	 */
	static final String REQUEST_ID = "Mesh-Request-Id";

	/**
	 * Fields that are never forwarded because each node sets its own values.
	 */
	private static final Set<String> REWRITTEN_BY_EACH_NODE = Set.of("mesh-service", "mesh-deadline-millis",
			"mesh-attempt-budget", "mesh-verdict", "mesh-reason", "mesh-version", "mesh-configuration-version",
			"mesh-backend-verdict");

	private MeshHeaders() {
	}

	/**
	 * Returns whether a field is forwarded.
	 * @param name name of the field in lower case
	 * @return false if each node sets its own value
	 */
	static boolean forwards(String name) {
		return !REWRITTEN_BY_EACH_NODE.contains(name);
	}

	/**
	 * Replaces characters that are not printable ASCII, for use as a header value.
	 * @param text any string
	 * @return the string in printable ASCII
	 */
	static String printable(String text) {
		StringBuilder printable = new StringBuilder(text.length());
		for (int index = 0; index < text.length(); index++) {
			char character = text.charAt(index);
			printable.append((character >= ' ' && character <= '~') ? character : '?');
		}
		return printable.toString();
	}

}
