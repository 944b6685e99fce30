package io.lavenderroad.model;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * All teams with access keys. A receiver that missed the removal of a team gets all
 * teams; other receivers get those that changed since.
 */
public final class TeamSet {

	/**
	 * No teams. Callers need no keys then.
	 */
	public static final TeamSet EMPTY = new TeamSet(new TreeMap<>(), 0);

	private final SortedMap<String, Team> teams;

	private final long lastRemovalVersion;

	private final Map<String, Team> byKeyDigest = new HashMap<>();

	private TeamSet(SortedMap<String, Team> teams, long lastRemovalVersion) {
		this.teams = Collections.unmodifiableSortedMap(teams);
		this.lastRemovalVersion = lastRemovalVersion;
		for (Team team : teams.values()) {
			team.keyDigests().forEach((digest) -> this.byKeyDigest.put(digest, team));
		}
	}

	/**
	 * Creates a set.
	 * @param teams the teams
	 * @param lastRemovalVersion mesh version that last removed a team, 0 if none did
	 * @return the set
	 */
	public static TeamSet of(Collection<Team> teams, long lastRemovalVersion) {
		return new TeamSet(byName(teams), lastRemovalVersion);
	}

	/**
	 * Returns whether no team exists, so that callers need no keys.
	 * @return true if there is none
	 */
	public boolean isEmpty() {
		return this.teams.isEmpty();
	}

	/**
	 * Returns the teams.
	 * @return teams in the order of their names
	 */
	public Collection<Team> all() {
		return this.teams.values();
	}

	/**
	 * Finds a team.
	 * @param name name of the team
	 * @return the team
	 */
	public Optional<Team> find(String name) {
		return Optional.ofNullable(this.teams.get(name));
	}

	/**
	 * Finds the team that holds a key.
	 * @param key access key as the caller sent it
	 * @return the team, or empty if no team holds the key
	 */
	public Optional<Team> findByKey(String key) {
		return Optional.ofNullable(this.byKeyDigest.get(Team.keyDigest(key)));
	}

	/**
	 * Returns the mesh version that last removed a team.
	 * @return the version, 0 if no team was removed
	 */
	public long lastRemovalVersion() {
		return this.lastRemovalVersion;
	}

	/**
	 * Returns the changes that lead from this set to another one.
	 * @param other the other set
	 * @return the changes, ignoring modified versions
	 */
	public TeamEdit editTo(Collection<Team> other) {
		List<Team> changed = other.stream()
			.filter((team) -> find(team.name()).filter(team::equalsIgnoringVersion).isEmpty())
			.toList();
		Map<String, Team> names = byName(other);
		List<String> removed = this.teams.keySet().stream().filter((name) -> !names.containsKey(name)).toList();
		return new TeamEdit(changed, removed, false);
	}

	/**
	 * Returns the changes for a receiver with an older version.
	 * @param version version of the receiver
	 * @return the changes since
	 */
	TeamEdit since(long version) {
		if (version < this.lastRemovalVersion) {
			return new TeamEdit(List.copyOf(all()), List.of(), true);
		}
		return new TeamEdit(all().stream().filter((team) -> team.modifiedVersion() > version).toList(), List.of(),
				false);
	}

	/**
	 * Applies an edit and sets the modified version of the changed teams.
	 * @param version version of the edit
	 * @param edit the edit
	 * @return the next set
	 */
	TeamSet next(long version, TeamEdit edit) {
		List<Team> stamped = edit.changed().stream().map((team) -> team.withModifiedVersion(version)).toList();
		return apply(version, new TeamEdit(stamped, edit.removed(), edit.complete()));
	}

	/**
	 * Applies an edit whose teams already carry their modified versions.
	 * @param version version of the edit
	 * @param edit the edit
	 * @return the next set
	 */
	TeamSet apply(long version, TeamEdit edit) {
		if (edit.isEmpty()) {
			return this;
		}
		TreeMap<String, Team> next = edit.complete() ? new TreeMap<>() : new TreeMap<>(this.teams);
		edit.removed().forEach(next::remove);
		edit.changed().forEach((team) -> next.put(team.name(), team));
		boolean removes = edit.complete() || !edit.removed().isEmpty();
		return new TeamSet(next, removes ? version : this.lastRemovalVersion);
	}

	private static TreeMap<String, Team> byName(Collection<Team> teams) {
		return teams.stream()
			.collect(Collectors.toMap(Team::name, (team) -> team, (first, second) -> second, TreeMap::new));
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof TeamSet set && this.teams.equals(set.teams);
	}

	@Override
	public int hashCode() {
		return Objects.hash(this.teams);
	}

}
