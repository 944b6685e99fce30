package io.lavenderroad.control.raft;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.lavenderroad.core.Clock;
import io.lavenderroad.core.wire.WireOptions;
import org.tinylog.Logger;

/**
 * Asks the leader to remove this member before its process ends, if the group has more
 * voters than its target. This is the case after a VM was replaced: its successor is a
 * voter, and the old voter would count in quorums until its silence is noticed.
 */
public final class GroupLeave {

	private static final long RETRY_INTERVAL_MILLIS = 100;

	private final ControlMember<?> member;

	private final Clock clock;

	private final GroupClient client;

	private final LeaveRequest request;

	/**
	 * Creates the action.
	 * @param member the member
	 * @param clock source of time
	 * @param options identity of the process for connections
	 * @param id id of the member
	 */
	public GroupLeave(ControlMember<?> member, Clock clock, WireOptions options, String id) {
		this.member = member;
		this.clock = clock;
		this.client = new GroupClient(member, options);
		this.request = new LeaveRequest(id);
	}

	/**
	 * Leaves the group if it has more voters than its target. The member votes and
	 * acknowledges until its removal is committed.
	 * @param timeoutMillis maximum wait in milliseconds
	 * @return whether the process may end; false if the time was too short
	 */
	public boolean leave(long timeoutMillis) {
		long end = this.clock.millis() + timeoutMillis;
		while (this.member.mayBeSurplus() && !isReleased()) {
			if (this.clock.millis() >= end) {
				Logger.warn("control: {} did not leave the group within {} ms.", this.request.id(), timeoutMillis);
				return false;
			}
			try {
				TimeUnit.MILLISECONDS.sleep(RETRY_INTERVAL_MILLIS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return false;
			}
		}
		return true;
	}

	private boolean isReleased() {
		LeaveResponse local = this.member.handleLeave(this.request);
		Optional<LeaveResponse> response = local.leaderAddress()
			.map((address) -> this.client.call(address, this.request, LeaveResponse.class))
			.orElse(Optional.of(local));
		return response.map(LeaveResponse::released).orElse(false);
	}

}
