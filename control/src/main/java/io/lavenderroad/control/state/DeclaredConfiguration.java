package io.lavenderroad.control.state;

import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;

import io.lavenderroad.model.CallerLimits;
import io.lavenderroad.model.HostRoute;

/**
 * Complete configuration declared by an operator under a version that the operator chose.
 * It replaces the previous declared configuration.
 *
 * @param version version chosen by the operator
 * @param baseVersion declared version that it is based on, 0 for the first
 * @param digest digest of the declaration as received; an equal digest under the same
 * version identifies a resend
 * @param routes all routes, each with its host
 * @param services all services by name, each with its cold start
 * @param limits limits of callers
 * @param teams all teams with access keys, empty if callers need no keys
 * @param parts texts of the parts of the declaration by name, returned to operators
 * unchanged
 */
public record DeclaredConfiguration(long version, long baseVersion, String digest, List<HostRoute> routes,
		SortedMap<String, DeclaredColdStart> services, CallerLimits limits, List<DeclaredTeam> teams,
		SortedMap<String, String> parts) {

	public DeclaredConfiguration {
		Objects.requireNonNull(digest, "digest");
		Objects.requireNonNull(limits, "limits");
		routes = List.copyOf(routes);
		services = Collections.unmodifiableSortedMap(new TreeMap<>(services));
		teams = List.copyOf(teams);
		parts = Collections.unmodifiableSortedMap(new TreeMap<>(parts));
	}

	/**
	 * Creates a declaration without cold starts and teams.
	 * @param version version chosen by the operator
	 * @param baseVersion declared version that it is based on, 0 for the first
	 * @param digest digest of the declaration as received
	 * @param routes all routes, each with its host
	 * @param services names of all services
	 * @param limits limits of callers
	 * @param parts texts of the parts of the declaration by name
	 */
	public DeclaredConfiguration(long version, long baseVersion, String digest, List<HostRoute> routes,
			SortedSet<String> services, CallerLimits limits, SortedMap<String, String> parts) {
		this(version, baseVersion, digest, routes, withoutColdStart(services), limits, List.of(), parts);
	}

	private static SortedMap<String, DeclaredColdStart> withoutColdStart(SortedSet<String> services) {
		SortedMap<String, DeclaredColdStart> coldStarts = new TreeMap<>();
		services.forEach((name) -> coldStarts.put(name, DeclaredColdStart.NONE));
		return coldStarts;
	}

	/**
	 * Describes the declaration without its parts, which hold access keys.
	 */
	@Override
	public String toString() {
		return "declaration " + this.version + " on " + this.baseVersion;
	}

}
