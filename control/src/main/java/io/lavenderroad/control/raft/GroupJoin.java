package io.lavenderroad.control.raft;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.lavenderroad.core.wire.WireOptions;
import org.tinylog.Logger;

/**
 * Sends join requests to the group while this process is not a member, or while it has no
 * leader and may have been removed. Runs about once a second on a single task.
 */
public final class GroupJoin implements Runnable {

	/**
	 * Time without a leader after which a member checks whether it is still in the member
	 * set.
	 */
	private static final long LEADERLESS_MILLIS = 3_000;

	private final ControlMember<?> member;

	private final GroupClient client;

	private final RandomGenerator random;

	private final Supplier<List<String>> seeds;

	private final JoinRequest request;

	/**
	 * Creates the task.
	 * @param member the member
	 * @param options identity of the process for connections
	 * @param random source of randomness
	 * @param seeds addresses to contact in addition to those of the known members
	 * @param request the join request to send
	 */
	public GroupJoin(ControlMember<?> member, WireOptions options, RandomGenerator random, Supplier<List<String>> seeds,
			JoinRequest request) {
		this.member = Objects.requireNonNull(member, "member");
		this.client = new GroupClient(member, options);
		this.random = random;
		this.seeds = seeds;
		this.request = request;
	}

	@Override
	public void run() {
		MemberStatus status = this.member.status();
		boolean isMember = status.members().find(this.request.id()).isPresent();
		if (isMember && (status.leader().isPresent() || this.member.quorumContactAgeMillis() < LEADERLESS_MILLIS)) {
			return;
		}
		for (String address : contactAddresses(status)) {
			Optional<JoinResponse> response = sendRequest(address).flatMap(this::followRedirect);
			if (response.isPresent()) {
				Logger.info("control: {} sent a join request to {}: {}.", this.request.id(), address,
						response.get().member() ? "already a member" : "member change started or pending");
				return;
			}
		}
	}

	private Optional<JoinResponse> followRedirect(JoinResponse response) {
		return response.leaderAddress().isPresent() ? sendRequest(response.leaderAddress().get())
				: Optional.of(response);
	}

	private List<String> contactAddresses(MemberStatus status) {
		Set<String> all = new LinkedHashSet<>(this.seeds.get());
		status.members().members().forEach((other) -> all.add(other.address()));
		all.remove(this.request.address());
		List<String> shuffled = new ArrayList<>(all);
		Collections.shuffle(shuffled, Random.from(this.random));
		return shuffled;
	}

	private Optional<JoinResponse> sendRequest(String address) {
		return this.client.call(address, this.request, JoinResponse.class);
	}

}
