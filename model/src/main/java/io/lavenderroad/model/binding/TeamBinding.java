package io.lavenderroad.model.binding;

import java.io.IOException;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;

import io.lavenderroad.core.wire.Fields;
import io.lavenderroad.model.Evacuations;
import io.lavenderroad.model.Quota;
import io.lavenderroad.model.Team;
import io.lavenderroad.model.TeamEdit;
import io.lavenderroad.model.TeamSet;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * MessagePack binding of teams and evacuations.
 */
final class TeamBinding {

	private TeamBinding() {
	}

	static void packTeam(Team team, MessagePacker packer) throws IOException {
		packer.packString(team.name());
		Fields.packList(packer, team.keyDigests(), (digest, target) -> target.packString(digest));
		packer.packInt(team.priority());
		packer.packBoolean(team.quota().isPresent());
		if (team.quota().isPresent()) {
			packer.packDouble(team.quota().get().requestsPerSecond());
			packer.packDouble(team.quota().get().burst());
		}
		packer.packLong(team.modifiedVersion());
	}

	private static Team unpackTeam(MessageUnpacker unpacker) throws IOException {
		return new Team(unpacker.unpackString(), Fields.unpackList(unpacker, MessageUnpacker::unpackString),
				unpacker.unpackInt(), unpacker.unpackBoolean()
						? Optional.of(new Quota(unpacker.unpackDouble(), unpacker.unpackDouble())) : Optional.empty(),
				unpacker.unpackLong());
	}

	static void packTeams(TeamSet teams, MessagePacker packer) throws IOException {
		Fields.packList(packer, teams.all(), TeamBinding::packTeam);
		packer.packLong(teams.lastRemovalVersion());
	}

	static TeamSet unpackTeams(MessageUnpacker unpacker) throws IOException {
		return TeamSet.of(Fields.unpackList(unpacker, TeamBinding::unpackTeam), unpacker.unpackLong());
	}

	static void packTeamEdit(TeamEdit edit, MessagePacker packer) throws IOException {
		Fields.packList(packer, edit.changed(), TeamBinding::packTeam);
		Fields.packList(packer, edit.removed(), (name, target) -> target.packString(name));
		packer.packBoolean(edit.complete());
	}

	static TeamEdit unpackTeamEdit(MessageUnpacker unpacker) throws IOException {
		return new TeamEdit(Fields.unpackList(unpacker, TeamBinding::unpackTeam),
				Fields.unpackList(unpacker, MessageUnpacker::unpackString), unpacker.unpackBoolean());
	}

	static void packEvacuations(Evacuations evacuations, MessagePacker packer) throws IOException {
		Fields.packList(packer, evacuations.failureDomains(), (name, target) -> target.packString(name));
		packer.packLong(evacuations.modifiedVersion());
	}

	static Evacuations unpackEvacuations(MessageUnpacker unpacker) throws IOException {
		return new Evacuations(new TreeSet<>(Fields.unpackList(unpacker, MessageUnpacker::unpackString)),
				unpacker.unpackLong());
	}

	static void packEvacuatedDomains(Optional<SortedSet<String>> failureDomains, MessagePacker packer)
			throws IOException {
		packer.packBoolean(failureDomains.isPresent());
		if (failureDomains.isPresent()) {
			Fields.packList(packer, failureDomains.get(), (name, target) -> target.packString(name));
		}
	}

	static Optional<SortedSet<String>> unpackEvacuatedDomains(MessageUnpacker unpacker) throws IOException {
		return unpacker.unpackBoolean()
				? Optional.of(new TreeSet<>(Fields.unpackList(unpacker, MessageUnpacker::unpackString)))
				: Optional.empty();
	}

}
