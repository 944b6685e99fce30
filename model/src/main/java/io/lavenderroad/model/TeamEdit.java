package io.lavenderroad.model;

import java.util.List;

/**
 * Changes of the teams between two versions.
 *
 * @param changed teams that are new or changed
 * @param removed names of the teams that are removed
 * @param complete whether {@code changed} lists all teams, so that teams that are not
 * listed are removed
 */
public record TeamEdit(List<Team> changed, List<String> removed, boolean complete) {

	/**
	 * An edit that changes nothing.
	 */
	public static final TeamEdit NONE = new TeamEdit(List.of(), List.of(), false);

	public TeamEdit {
		changed = List.copyOf(changed);
		removed = List.copyOf(removed);
	}

	/**
	 * Returns whether the edit changes nothing.
	 * @return true if the teams stay as they are
	 */
	public boolean isEmpty() {
		return this.changed.isEmpty() && this.removed.isEmpty() && !this.complete;
	}

}
