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
 * Finds what is wrong with a declared configuration, whatever is in force.
 */
final class DeclarationCheck {

	private final DeclaredConfiguration declared;

	private final List<Problem> problems = new ArrayList<>();

	private final Map<String, String> places = new HashMap<>();

	private DeclarationCheck(DeclaredConfiguration declared) {
		this.declared = declared;
	}

	/**
	 * Checks a declaration.
	 * @param declared the declaration
	 * @return all problems, empty if it is valid
	 */
	static List<Problem> problems(DeclaredConfiguration declared) {
		DeclarationCheck check = new DeclarationCheck(declared);
		if (declared.version() <= declared.baseVersion()) {
			check.problem("version", String.valueOf(declared.version()),
					"a version above its base version " + declared.baseVersion());
		}
		declared.routes().forEach(check::route);
		return check.problems;
	}

	private void route(HostRoute route) {
		String path = "routes." + route.name();
		if (!route.pathPrefix().startsWith("/")) {
			problem(path, "path prefix '" + route.pathPrefix() + "'", "a prefix that begins with a slash");
		}
		String place = route.host().toLowerCase(Locale.ROOT) + route.pathPrefix();
		String other = this.places.putIfAbsent(place, route.name());
		if (other != null) {
			problem(path, "host and prefix of route " + other, "a host and prefix of its own");
		}
		weights(route, path);
		if (route.rules().timeoutMillis() <= 0) {
			problem(path, "timeout of " + route.rules().timeoutMillis() + " ms", "more than 0 ms");
		}
		if (route.rules().mostAttempts() < 1) {
			problem(path, route.rules().mostAttempts() + " attempts", "1 or more");
		}
	}

	private void weights(HostRoute route, String path) {
		long sum = 0;
		for (Map.Entry<String, Integer> part : route.weights().entrySet()) {
			if (!this.declared.services().contains(part.getKey())) {
				problem(path, "the unknown service '" + part.getKey() + "'", "a declared service");
			}
			if (part.getValue() < 0) {
				problem(path, "weight " + part.getValue() + " of " + part.getKey(), "0 or more");
			}
			sum += Math.max(0, part.getValue());
		}
		if (sum <= 0) {
			problem(path, "weights that add up to " + sum, "a sum above 0");
		}
	}

	private void problem(String path, String found, String allowed) {
		this.problems.add(new Problem(new Location("configuration", 0, 0, path), found, allowed));
	}

}
