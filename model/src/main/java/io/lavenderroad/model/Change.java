package io.lavenderroad.model;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A change of the templates and parameters documents that an operator requests.
 *
 * @param changeId idempotency key chosen by the tool and kept for a resend, so that the
 * change takes effect once
 * @param baseVersion mesh version that the operator based the change on
 * @param operator name of the operator
 * @param put text of the new and replaced documents by name
 * @param removed names of the documents to remove
 */
public record Change(String changeId, long baseVersion, String operator, SortedMap<String, String> put,
		List<String> removed) {

	public Change {
		put = Collections.unmodifiableSortedMap(new TreeMap<>(put));
		removed = List.copyOf(removed);
	}

	/**
	 * Creates a change that adds or replaces documents and removes none.
	 * @param changeId id of the change
	 * @param baseVersion mesh version that the operator based the change on
	 * @param operator name of the operator
	 * @param put text of the documents by name
	 * @return the change
	 */
	public static Change ofDocuments(String changeId, long baseVersion, String operator, Map<String, String> put) {
		return new Change(changeId, baseVersion, operator, new TreeMap<>(put), List.of());
	}

}
