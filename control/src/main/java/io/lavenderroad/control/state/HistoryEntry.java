package io.lavenderroad.control.state;

import java.util.List;
import java.util.Objects;

/**
 * Event in the history of the mesh.
 *
 * @param version mesh version created by the event, or the active version if it created
 * none
 * @param atMillis command time of the event, milliseconds since the epoch
 * @param kind kind of the event: {@code change}, {@code move}, {@code declaration} or
 * {@code evacuation}
 * @param id id of the change or of the move, the declared version, or the failure domain
 * @param operator name of the operator, or empty if the event has none
 * @param lines description of the effect
 */
public record HistoryEntry(long version, long atMillis, String kind, String id, String operator, List<String> lines) {

	public HistoryEntry {
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(operator, "operator");
		lines = List.copyOf(lines);
	}

}
