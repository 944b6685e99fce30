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
 * A whole configuration as an operator declares it, under a version that the operator
 * chose. It replaces the declared configuration before it.
 *
 * @param version version chosen by the operator
 * @param baseVersion declared version that it builds on, 0 for the first
 * @param digest digest of the declaration as it was sent; equal digests mean that the
 * same declaration was sent again
 * @param routes all routes by host
 * @param services names of all services
 * @param limits limits for callers
 * @param parts text of each part of the declaration by the name of the part, to be
 * returned to operators unchanged
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
