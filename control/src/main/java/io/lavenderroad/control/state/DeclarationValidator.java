package io.lavenderroad.control.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import io.lavenderroad.core.Location;
import io.lavenderroad.core.Problem;
import io.lavenderroad.model.HostRoute;

/**
 * Validates a declared configuration independently of the active configuration.
 */
final class DeclarationValidator {

	private final DeclaredConfiguration declared;

	private final List<Problem> problems = new ArrayList<>();

	private final Map<String, String> routeNamesByPrefix = new HashMap<>();

	private DeclarationValidator(DeclaredConfiguration declared) {
		this.declared = declared;
	}

	/**
	 * Validates a declaration.
	 * @param declared the declaration
	 * @return all problems, empty if it is valid
	 */
	static List<Problem> problems(DeclaredConfiguration declared) {
		DeclarationValidator check = new DeclarationValidator(declared);
		if (declared.version() <= declared.baseVersion()) {
			check.addProblem("version", String.valueOf(declared.version()),
					"a version above its base version " + declared.baseVersion());
		}
		declared.routes().forEach(check::checkRoute);
		return check.problems;
	}

	private void checkRoute(HostRoute route) {
		String path = "routes." + route.name();
		if (!route.pathPrefix().startsWith("/")) {
			addProblem(path, "path prefix '" + route.pathPrefix() + "'", "a prefix that begins with a slash");
		}
		String hostAndPrefix = route.host().toLowerCase(Locale.ROOT) + route.pathPrefix();
		String other = this.routeNamesByPrefix.putIfAbsent(hostAndPrefix, route.name());
		if (other != null) {
			addProblem(path, "host and prefix of route " + other, "a host and prefix of its own");
		}
		checkWeights(route, path);
		if (route.rules().timeoutMillis() <= 0) {
			addProblem(path, "timeout of " + route.rules().timeoutMillis() + " ms", "more than 0 ms");
		}
		if (route.rules().maximumAttempts() < 1) {
			addProblem(path, route.rules().maximumAttempts() + " attempts", "1 or more");
		}
	}

	private void checkWeights(HostRoute route, String path) {
		long sum = 0;
		for (Map.Entry<String, Integer> part : route.weights().entrySet()) {
			if (!this.declared.services().contains(part.getKey())) {
				addProblem(path, "the unknown service '" + part.getKey() + "'", "a declared service");
			}
			if (part.getValue() < 0) {
				addProblem(path, "weight " + part.getValue() + " of " + part.getKey(), "0 or more");
			}
			sum += Math.max(0, part.getValue());
		}
		if (sum <= 0) {
			addProblem(path, "weights that add up to " + sum, "a sum above 0");
		}
	}

	private void addProblem(String path, String found, String allowed) {
		this.problems.add(new Problem(new Location("configuration", 0, 0, path), found, allowed));
	}

}
