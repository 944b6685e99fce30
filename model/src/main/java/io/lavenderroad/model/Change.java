package io.lavenderroad.model;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A change of the documents that an operator asks for.
 *
 * @param changeId chosen by the tool and kept for a resend, so that the change takes
 * effect once
 * @param baseVersion mesh version that the operator saw
 * @param operator name of the operator
 * @param put text of the templates and parameters documents by name
 * @param removed names of the documents that are removed
 */
public record Change(String changeId, long baseVersion, String operator, SortedMap<String, String> put,
		List<String> removed) {

	public Change {
		put = Collections.unmodifiableSortedMap(new TreeMap<>(put));
		removed = List.copyOf(removed);
	}

	/**
	 * Creates a change that only puts documents.
	 * @param changeId id of the change
	 * @param baseVersion mesh version that the operator saw
	 * @param operator name of the operator
	 * @param put text of the documents by name
	 * @return the change
	 */
	public static Change putting(String changeId, long baseVersion, String operator, Map<String, String> put) {
		return new Change(changeId, baseVersion, operator, new TreeMap<>(put), List.of());
	}

}
