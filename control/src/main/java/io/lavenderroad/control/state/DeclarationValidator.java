package io.lavenderroad.control.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.lavenderroad.core.Location;
import io.lavenderroad.core.Problem;
import io.lavenderroad.core.http.HttpAuthority;
import io.lavenderroad.model.HostRoute;

/**
 * Validates a declared configuration independently of the active configuration.
 */
final class DeclarationValidator {

	private static final String HOST_ALLOWED = "a name in ASCII, an IPv4 address, or an IPv6 address in brackets, "
			+ "with or without a port";

	private final DeclaredConfiguration declared;

	private final List<Problem> problems = new ArrayList<>();

	private final Map<HostAndPrefix, String> routeNamesByPrefix = new HashMap<>();

	private final Map<String, String> teamNamesByKey = new HashMap<>();

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
		declared.services().forEach(check::checkColdStart);
		declared.teams().forEach(check::checkTeam);
		return check.problems;
	}

	private void checkRoute(HostRoute route) {
		String path = "routes." + route.name();
		if (!route.pathPrefix().startsWith("/")) {
			addProblem(path, "path prefix '" + route.pathPrefix() + "'", "a prefix that begins with a slash");
		}
		HttpAuthority.parse(route.host())
			.ifPresentOrElse((authority) -> checkPrefix(authority, route, path),
					() -> addProblem(path, "host '" + route.host() + "'", HOST_ALLOWED));
		checkWeights(route, path);
		if (route.rules().timeoutMillis() <= 0) {
			addProblem(path, "timeout of " + route.rules().timeoutMillis() + " ms", "more than 0 ms");
		}
		if (route.rules().maximumAttempts() < 1) {
			addProblem(path, route.rules().maximumAttempts() + " attempts", "1 or more");
		}
	}

	private void checkPrefix(HttpAuthority authority, HostRoute route, String path) {
		HostAndPrefix hostAndPrefix = new HostAndPrefix(authority.host(), authority.port(), route.pathPrefix());
		String other = this.routeNamesByPrefix.putIfAbsent(hostAndPrefix, route.name());
		if (other != null) {
			addProblem(path, "host and prefix of route " + other, "a host and prefix of its own");
		}
	}

	private void checkWeights(HostRoute route, String path) {
		long sum = 0;
		for (Map.Entry<String, Integer> part : route.weights().entrySet()) {
			if (!this.declared.services().containsKey(part.getKey())) {
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

	private void checkColdStart(String service, DeclaredColdStart coldStart) {
		String path = "services." + service;
		checkNumber(path, "cold start of %s seconds", coldStart.seconds());
		checkNumber(path, "%s requests per second while cold", coldStart.requestsPerSecond());
	}

	private void checkTeam(DeclaredTeam team) {
		String path = "teams." + team.name();
		if (team.name().isBlank() || team.name().chars().anyMatch(Character::isISOControl)) {
			addProblem("teams", team.name().isBlank() ? "a team without a name" : "a name with control characters",
					"a name of printable characters");
		}
		if (team.priority() < 0) {
			addProblem(path, "priority " + team.priority(), "0 or more");
		}
		checkNumber(path, "%s requests per second", team.requestsPerSecond());
		checkNumber(path, "a burst of %s requests", team.burst());
		for (int index = 0; index < team.accessKeys().size(); index++) {
			checkKey(team, path + ".key[" + index + "]", team.accessKeys().get(index));
		}
	}

	// Problems name the place of a key and never the key, since they are logged.
	private void checkKey(DeclaredTeam team, String path, String key) {
		if (key.isBlank()) {
			addProblem(path, "an empty key", "a key");
		}
		String other = this.teamNamesByKey.putIfAbsent(key, team.name());
		if (other != null && !other.equals(team.name())) {
			addProblem(path, "a key of team " + other, "a key of no other team");
		}
	}

	private void checkNumber(String path, String found, double value) {
		if (!(value >= 0) || Double.isInfinite(value)) {
			addProblem(path, found.formatted(value), "a finite number of 0 or more");
		}
	}

	private void addProblem(String path, String found, String allowed) {
		this.problems.add(new Problem(new Location("configuration", 0, 0, path), found, allowed));
	}

	/**
	 * What no two routes share.
	 *
	 * @param host normalized host
	 * @param port stated port, or the default port
	 * @param pathPrefix path prefix
	 */
	private record HostAndPrefix(String host, int port, String pathPrefix) {

	}

}
