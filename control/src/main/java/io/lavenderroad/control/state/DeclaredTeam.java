package io.lavenderroad.control.state;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import io.lavenderroad.model.Quota;
import io.lavenderroad.model.Team;

/**
 * Team as an operator declared it. The values are not validated.
 *
 * @param name name of the team
 * @param accessKeys access keys of the callers of the team
 * @param priority priority of the team's calls, 0 is the highest
 * @param requestsPerSecond requests per second that the team may send over all nodes, 0
 * for no limit
 * @param burst requests that the team may send at once beyond the rate
 */
public record DeclaredTeam(String name, List<String> accessKeys, int priority, double requestsPerSecond, double burst) {

	public DeclaredTeam {
		Objects.requireNonNull(name, "name");
		accessKeys = List.copyOf(accessKeys);
	}

	/**
	 * Converts a validated declaration. Only digests of the keys are taken over.
	 * @return the team for the configuration of the mesh
	 */
	Team toTeam() {
		Optional<Quota> quota = (this.requestsPerSecond > 0)
				? Optional.of(new Quota(this.requestsPerSecond, this.burst)) : Optional.empty();
		return new Team(this.name, this.accessKeys.stream().map(Team::keyDigest).distinct().toList(), this.priority,
				quota, 0);
	}

	/**
	 * Describes the team without its keys.
	 */
	@Override
	public String toString() {
		return "team " + this.name + " with " + this.accessKeys.size() + " keys";
	}

}
