package io.lavenderroad.daemon;

import java.util.Optional;
import java.util.OptionalLong;

import io.lavenderroad.control.raft.ControlMember;
import io.lavenderroad.control.raft.Member;
import io.lavenderroad.control.raft.MemberStatus;
import io.lavenderroad.control.raft.ProposalOutcome;
import io.lavenderroad.control.raft.StateMachine;
import io.lavenderroad.control.state.CommandFailure;
import io.lavenderroad.control.state.CommandLog;
import io.lavenderroad.control.state.MeshStateMachine;
import io.lavenderroad.control.state.ReadConfirmation;
import io.lavenderroad.core.ExecutionVerdict;
import io.vavr.control.Either;

/**
 * Proposes commands of the mesh state machine to the replicated log and confirms reads.
 */
final class RaftCommandLog implements CommandLog, ReadConfirmation {

	private static final long APPLY_TIMEOUT_MILLIS = 5_000;

	private final ControlMember<StateMachineAdapter> member;

	private final int httpPort;

	/**
	 * Creates the command log.
	 * @param member the local member of the control group
	 * @param httpPort port for operators, the same on all members
	 */
	RaftCommandLog(ControlMember<StateMachineAdapter> member, int httpPort) {
		this.member = member;
		this.httpPort = httpPort;
	}

	@Override
	public Either<CommandFailure, byte[]> propose(byte[] command) {
		return toResult(this.member.propose(command));
	}

	@Override
	public Either<CommandFailure, Long> confirm() {
		OptionalLong index = this.member.confirmLeadership();
		if (index.isEmpty()) {
			return Either.left(new CommandFailure(ExecutionVerdict.NOT_RUN,
					"this member does not lead the control group", leaderAddress()));
		}
		if (!this.member.awaitApplied(index.getAsLong(), APPLY_TIMEOUT_MILLIS)) {
			return Either.left(new CommandFailure(ExecutionVerdict.NOT_RUN, "this member is behind", Optional.empty()));
		}
		return Either.right(index.getAsLong());
	}

	/**
	 * Returns the address of the leader for operators.
	 * @return {@code ip:port}, or empty if the leader is unknown or is this member
	 */
	Optional<String> leaderAddress() {
		MemberStatus status = this.member.status();
		return status.leader().filter((leader) -> !leader.id().equals(status.id())).map(this::httpAddress);
	}

	Either<CommandFailure, byte[]> toResult(ProposalOutcome outcome) {
		return switch (outcome) {
			case ProposalOutcome.Accepted accepted -> Either.right(accepted.result());
			case ProposalOutcome.NotRun notRun -> Either.left(new CommandFailure(ExecutionVerdict.NOT_RUN,
					notRun.reason(), notRun.leader().map(this::httpAddress)));
			case ProposalOutcome.Unknown unknown ->
				Either.left(new CommandFailure(ExecutionVerdict.MAY_HAVE_RUN, unknown.reason(), Optional.empty()));
		};
	}

	private String httpAddress(Member leader) {
		return leader.address().substring(0, leader.address().lastIndexOf(':') + 1) + this.httpPort;
	}

	/**
	 * Adapts the mesh state machine to the interface of the replicated log.
	 *
	 * @param mesh the state machine of the mesh
	 */
	record StateMachineAdapter(MeshStateMachine mesh) implements StateMachine {

		@Override
		public byte[] apply(long index, byte[] command) {
			return this.mesh.apply(index, command);
		}

		@Override
		public byte[] snapshot() {
			return this.mesh.snapshot();
		}

		@Override
		public void restore(byte[] snapshot) {
			this.mesh.restore(snapshot);
		}

	}

}
