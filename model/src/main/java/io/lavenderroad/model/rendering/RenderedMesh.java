package io.lavenderroad.model.rendering;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

import io.lavenderroad.core.Location;

/**
 * Result of rendering all documents.
 *
 * @param services services by name
 * @param locations where the parameters documents declare each service
 */
public record RenderedMesh(SortedMap<String, RenderedService> services, Map<String, Location> locations) {

	/**
	 * The result of rendering no documents.
	 */
	public static final RenderedMesh EMPTY = new RenderedMesh(new TreeMap<>(), Map.of());

	public RenderedMesh {
		services = Collections.unmodifiableSortedMap(new TreeMap<>(services));
		locations = Collections.unmodifiableSortedMap(new TreeMap<>(locations));
	}

}
