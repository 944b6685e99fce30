package io.lavenderroad.control.raft;

import java.net.InetSocketAddress;
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

import io.lavenderroad.core.wire.CallFailure;
import io.lavenderroad.core.wire.Connection;
import io.lavenderroad.core.wire.WireOptions;
import io.vavr.control.Either;
import org.tinylog.Logger;

/**
 * Asks the group to take this process in while it is no member, or while it hears no
 * leader and may have been removed. Run about once a second on one task.
 */
public final class GroupJoin implements Runnable {

	/**
	 * Time without a leader after which a member asks whether it still is one.
	 */
	private static final long LEADERLESS_MILLIS = 3_000;

	private static final long CALL_MILLIS = 1_000;

	private final ControlMember<?> member;

	private final WireOptions options;

	private final RandomGenerator random;

	private final Supplier<List<String>> seeds;

	private final JoinRequest request;

	/**
	 * Creates the task.
	 * @param member the member
	 * @param options identity of the process for connections
	 * @param random source of randomness
	 * @param seeds addresses to try beside those of the members
	 * @param request what to ask for
	 */
	public GroupJoin(ControlMember<?> member, WireOptions options, RandomGenerator random, Supplier<List<String>> seeds,
			JoinRequest request) {
		this.member = Objects.requireNonNull(member, "member");
		this.options = options;
		this.random = random;
		this.seeds = seeds;
		this.request = request;
	}

	@Override
	public void run() {
		MemberStatus status = this.member.status();
		boolean known = status.members().find(this.request.id()).isPresent();
		if (known && (status.leader().isPresent() || this.member.quorumContactAgeMillis() < LEADERLESS_MILLIS)) {
			return;
		}
		for (String address : candidates(status)) {
			Optional<JoinAnswer> answer = ask(address).flatMap(this::askLeader);
			if (answer.isPresent()) {
				Logger.info("control: {} asked {} to join: {}.", this.request.id(), address,
						answer.get().member() ? "is a member" : "the change has begun or must wait");
				return;
			}
		}
	}

	private Optional<JoinAnswer> askLeader(JoinAnswer first) {
		return first.leaderAddress().isPresent() ? ask(first.leaderAddress().get()) : Optional.of(first);
	}

	private List<String> candidates(MemberStatus status) {
		Set<String> all = new LinkedHashSet<>(this.seeds.get());
		status.members().members().forEach((other) -> all.add(other.address()));
		all.remove(this.request.address());
		List<String> shuffled = new ArrayList<>(all);
		Collections.shuffle(shuffled, Random.from(this.random));
		return shuffled;
	}

	private Optional<JoinAnswer> ask(String address) {
		int colon = address.lastIndexOf(':');
		InetSocketAddress target = new InetSocketAddress(address.substring(0, colon),
				Integer.parseInt(address.substring(colon + 1)));
		Either<CallFailure, Connection> opened = Connection.open(target, this.options, this.member.handler());
		if (opened.isLeft()) {
			Logger.debug("control: {} cannot ask {} to join: {}.", this.request.id(), address,
					opened.getLeft().reason());
			return Optional.empty();
		}
		try (Connection connection = opened.get()) {
			return connection.call(this.request, CALL_MILLIS, JoinAnswer.class)
				.peekLeft((failure) -> Logger.debug("control: {} does not answer a join request: {}.", address,
						failure.reason()))
				.toJavaOptional();
		}
	}

}
