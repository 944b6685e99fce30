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
 * Id of a control member and the founders, which are the first voters of its group. If
 * the group bootstraps itself, the founders are the seeds of the first start, and each
 * process that starts with an empty disk later gets an id that was never used before.
 *
 * @param id id of the member
 * @param founderAddresses addresses of the founders, empty if the settings name the
 * members or if the process joins
 */
record MemberIdentity(String id, List<String> founderAddresses) {

	private static final int TIMESTAMP_RADIX = 36;

	static MemberIdentity loadOrCreate(DaemonSettings settings, Clock clock) {
		if (settings.group().isEmpty()) {
			return new MemberIdentity(settings.id(), List.of());
		}
		IdentityFile file = new IdentityFile(StorageFileSystem.disk(), settings.dataFolder().orElseThrow());
		Optional<Identity> stored = file.load();
		Identity identity = stored.orElseGet(() -> create(settings, clock));
		if (stored.isEmpty()) {
			file.save(identity);
			Logger.info("control: Created member {} with founders {}.", identity.id(), identity.founders());
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

	static String format(InetSocketAddress address) {
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

	private static Identity create(DaemonSettings settings, Clock clock) {
		String ownAddress = settings.frameAddress();
		if (!settings.group().orElseThrow().bootstrap()) {
			return new Identity(founderId(ownAddress) + "-" + Long.toString(clock.millis(), TIMESTAMP_RADIX),
					List.of());
		}
		List<String> seeds = settings.seeds().stream().map(MemberIdentity::format).sorted().toList();
		return new Identity(founderId(ownAddress), seeds.contains(ownAddress) ? seeds : List.of());
	}

	private static String founderId(String address) {
		return address.replace(':', '-');
	}

}
