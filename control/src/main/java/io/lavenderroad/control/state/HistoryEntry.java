package io.lavenderroad.control.state;

import java.util.List;
import java.util.Objects;

/**
 * Event in the history of the mesh.
 *
 * @param version mesh version that the event made, or the version in force
 * @param atMillis when the leader proposed it, milliseconds since the epoch
 * @param kind kind of the event, {@code change} or {@code move}
 * @param id id of the change or of the move
 * @param operator name of the operator, or empty if the system decided
 * @param lines what it did
 */
public record HistoryEntry(long version, long atMillis, String kind, String id, String operator, List<String> lines) {

	public HistoryEntry {
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(operator, "operator");
		lines = List.copyOf(lines);
	}

}
