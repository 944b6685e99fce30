package io.lavenderroad.control.state;

import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

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
 * @param services names of all services
 * @param limits limits of callers
 * @param parts texts of the parts of the declaration by name, returned to operators
 * unchanged
 */
public record DeclaredConfiguration(long version, long baseVersion, String digest, List<HostRoute> routes,
		SortedSet<String> services, CallerLimits limits, SortedMap<String, String> parts) {

	public DeclaredConfiguration {
		Objects.requireNonNull(digest, "digest");
		Objects.requireNonNull(limits, "limits");
		routes = List.copyOf(routes);
		services = Collections.unmodifiableSortedSet(new TreeSet<>(services));
		parts = Collections.unmodifiableSortedMap(new TreeMap<>(parts));
	}

}
