package io.lavenderroad.daemon;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;

import io.lavenderroad.control.log.IdentityFile;
import io.lavenderroad.control.log.IdentityFile.Identity;
import io.lavenderroad.control.log.StorageFileSystem;
import io.lavenderroad.control.raft.Member;
import io.lavenderroad.core.Clock;
import org.tinylog.Logger;

/**
 * Id of a control member and the members that found its group. Where the group forms by
 * itself, the founders are the seeds of the first start, and each process that starts
 * with an empty disk later has an id that was never used before.
 *
 * @param id id of the member
 * @param founderAddresses addresses of the founders, empty if the settings name the
 * members or if the process joins
 */
record MemberIdentity(String id, List<String> founderAddresses) {

	private static final int RADIX = 36;

	static MemberIdentity of(DaemonSettings settings, Clock clock) {
		if (settings.group().isEmpty()) {
			return new MemberIdentity(settings.id(), List.of());
		}
		IdentityFile file = new IdentityFile(StorageFileSystem.disk(), settings.dataFolder().orElseThrow());
		Optional<Identity> known = file.load();
		Identity identity = known.orElseGet(() -> create(settings, clock));
		if (known.isEmpty()) {
			file.save(identity);
			Logger.info("control: New member {}, founders {}.", identity.id(), identity.founders());
		}
		return new MemberIdentity(identity.id(), identity.founders());
	}

	/**
	 * Returns the first voters of the group.
	 * @param settings settings that may name the members
	 * @return the voters, empty for a process that joins
	 */
	List<Member> founders(DaemonSettings settings) {
		if (settings.group().isEmpty()) {
			return settings.members().stream().map((member) -> Member.voter(member.id(), member.address())).toList();
		}
		return this.founderAddresses.stream().map((address) -> Member.voter(founderId(address), address)).toList();
	}

	static String text(InetSocketAddress address) {
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

	private static Identity create(DaemonSettings settings, Clock clock) {
		String own = settings.frameAddress();
		if (!settings.group().orElseThrow().founds()) {
			return new Identity(founderId(own) + "-" + Long.toString(clock.millis(), RADIX), List.of());
		}
		List<String> seeds = settings.seeds().stream().map(MemberIdentity::text).sorted().toList();
		return new Identity(founderId(own), seeds.contains(own) ? seeds : List.of());
	}

	private static String founderId(String address) {
		return address.replace(':', '-');
	}

}
