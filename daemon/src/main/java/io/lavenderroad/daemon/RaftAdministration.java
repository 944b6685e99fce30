package io.lavenderroad.daemon;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.lavenderroad.control.api.MemberAdministration;
import io.lavenderroad.control.raft.ControlMember;
import io.lavenderroad.control.raft.MemberChange;
import io.lavenderroad.control.raft.ProposalOutcome;
import io.lavenderroad.control.state.CommandFailure;
import io.lavenderroad.core.ExecutionVerdict;
import io.vavr.control.Either;

/**
 * Reports and changes the members of the control group for the operators' API.
 */
final class RaftAdministration implements MemberAdministration {

	/**
	 * Maximum wait for a member change, which includes sending a snapshot.
	 */
	private static final long CHANGE_TIMEOUT_SECONDS = 60;

	private final ControlMember<RaftCommandLog.StateMachineAdapter> member;

	private final RaftCommandLog commands;

	RaftAdministration(ControlMember<RaftCommandLog.StateMachineAdapter> member, RaftCommandLog commands) {
		this.member = member;
		this.commands = commands;
	}

	@Override
	public MemberStatus status() {
		io.lavenderroad.control.raft.MemberStatus status = this.member.status();
		return new MemberStatus(status.id(), status.role().name().toLowerCase(Locale.ROOT), status.term(),
				status.commitIndex(), status.leader().map(io.lavenderroad.control.raft.Member::id),
				this.commands.leaderAddress());
	}

	@Override
	public List<Member> members() {
		io.lavenderroad.control.raft.MemberStatus status = this.member.status();
		Optional<String> leader = status.leader().map(io.lavenderroad.control.raft.Member::id);
		return status.members()
			.members()
			.stream()
			.map((member) -> new Member(member.id(), member.address(), member.voter(),
					leader.equals(Optional.of(member.id())), replicatedIndex(status, member.id())))
			.toList();
	}

	@Override
	public Either<CommandFailure, List<Member>> add(String id, String address) {
		return change(MemberChange.add(id, address));
	}

	@Override
	public Either<CommandFailure, List<Member>> remove(String id) {
		return change(MemberChange.remove(id));
	}

	private Either<CommandFailure, List<Member>> change(MemberChange change) {
		CompletableFuture<ProposalOutcome> future = this.member.changeMembers(change);
		try {
			ProposalOutcome outcome = future.get(CHANGE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
			return this.commands.toResult(outcome).map((result) -> members());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return unknown("interrupted while waiting");
		}
		catch (ExecutionException ex) {
			return unknown(String.valueOf(ex.getCause()));
		}
		catch (TimeoutException ex) {
			return unknown("the change is still going on after " + CHANGE_TIMEOUT_SECONDS + " s");
		}
	}

	private static Either<CommandFailure, List<Member>> unknown(String reason) {
		return Either.left(new CommandFailure(ExecutionVerdict.MAY_HAVE_RUN, reason, Optional.empty()));
	}

	private static long replicatedIndex(io.lavenderroad.control.raft.MemberStatus status, String id) {
		Map<String, Long> indexes = status.matchIndexes();
		return id.equals(status.id()) ? status.lastIndex() : indexes.getOrDefault(id, -1L);
	}

}
