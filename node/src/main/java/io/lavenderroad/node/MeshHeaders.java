package io.lavenderroad.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Header names of the mesh and the rules for passing headers on.
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
	 * With the value {@code not-run} a backend server states that it shed the request
	 * without running any of it. The name differs from {@link #VERDICT}, so that a
	 * backend server that copies the headers of a nested call makes no false statement.
	 */
	static final String BACKEND_VERDICT = "Mesh-Backend-Verdict";

	static final String RETRY_AFTER = "Retry-After";

	/**
	 * Hop-by-hop headers of RFC 9110, section 7.6.1, headers that the HTTP client sets
	 * itself, and headers that each node writes anew.
	 */
	private static final Set<String> NOT_PASSED = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
			"content-length", "expect", "http2-settings", "mesh-service", "mesh-deadline-millis", "mesh-attempt-budget",
			"mesh-verdict", "mesh-reason", "mesh-version", "mesh-configuration-version", "mesh-backend-verdict");

	private MeshHeaders() {
	}

	/**
	 * Selects the headers that are passed on.
	 * @param headers all headers of a message
	 * @return names and values in turn
	 */
	static List<String> endToEnd(Map<String, List<String>> headers) {
		Set<String> named = namedByConnection(headers);
		List<String> pairs = new ArrayList<>(2 * headers.size());
		headers.forEach((name, values) -> {
			String lower = name.toLowerCase(Locale.ROOT);
			if (!NOT_PASSED.contains(lower) && !named.contains(lower) && !name.startsWith(":")) {
				for (String value : values) {
					pairs.add(name);
					pairs.add(value);
				}
			}
		});
		return pairs;
	}

	/**
	 * Makes a text safe for a header value.
	 * @param text any text
	 * @return the text in printable ASCII
	 */
	static String printable(String text) {
		StringBuilder printable = new StringBuilder(text.length());
		for (int index = 0; index < text.length(); index++) {
			char character = text.charAt(index);
			printable.append((character >= ' ' && character <= '~') ? character : '?');
		}
		return printable.toString();
	}

	private static Set<String> namedByConnection(Map<String, List<String>> headers) {
		Set<String> named = Set.of();
		for (Map.Entry<String, List<String>> entry : headers.entrySet()) {
			if (entry.getKey().equalsIgnoreCase("connection")) {
				named = new TreeSet<>();
				for (String value : entry.getValue()) {
					for (String name : value.split(",")) {
						named.add(name.strip().toLowerCase(Locale.ROOT));
					}
				}
			}
		}
		return named;
	}

}
