package io.lavenderroad.control.raft;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.lavenderroad.core.LavenderroadException;
import io.lavenderroad.core.wire.Connection;
import io.lavenderroad.core.wire.ConnectionHandler;
import io.lavenderroad.core.wire.WireOptions;
import org.tinylog.Logger;

/**
 * Tasks of a started member: a timer, group commit, applying entries, one task per peer,
 * and one per received message. The tasks only wait and call methods of
 * {@link ControlMember}, which acquire the lock. The lock also guards
 * {@code wireOptions}; the executor is thread-safe.
 */
final class MemberTasks {

	private static final long TICK_MILLIS = 20;

	private final MemberState state;

	private final ControlMember<?> member;

	private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

	final ConnectionHandler handler = new Handler();

	WireOptions wireOptions;

	MemberTasks(MemberState state, ControlMember<?> member) {
		this.state = state;
		this.member = member;
	}

	void startTasks() {
		this.executor.execute(this::runTimer);
		this.executor
			.execute(() -> runWhenever(this.member.proposals::hasQueued, () -> stopOnError(this.member::flush)));
		this.executor.execute(
				() -> runWhenever(() -> this.state.failure == null && this.state.appliedIndex < this.state.commitIndex,
						this.member::applyCommitted));
	}

	void stopTasks() {
		this.executor.shutdown();
		try {
			this.executor.awaitTermination(2 * this.state.options.electionTimeoutMillis(), TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	void startPeerTask(PeerProgress peer) {
		if (this.state.running) {
			this.executor
				.execute(new PeerTask(this.member, peer, this.wireOptions, this.state.options.electionTimeoutMillis()));
		}
	}

	private void runTimer() {
		try {
			while (this.state.withLock(() -> this.state.running)) {
				Thread.sleep(TICK_MILLIS);
				stopOnError(this.member::tick);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Runs a step of a task. An unexpected exception stops the member with a failure that
	 * operators can see; otherwise the member would continue without this task.
	 * @param step the step
	 */
	private void stopOnError(Runnable step) {
		try {
			step.run();
		}
		catch (RuntimeException ex) {
			Logger.error(ex, "control: Unexpected error in a member task.");
			this.state.withLock(() -> this.member.stopWithFailure("unexpected error: " + ex));
		}
	}

	private void runWhenever(BooleanSupplier due, Runnable action) {
		while (awaitDue(due)) {
			action.run();
		}
	}

	private boolean awaitDue(BooleanSupplier due) {
		this.state.lock.lock();
		try {
			while (this.state.running && !due.getAsBoolean()) {
				this.state.stateChanged.await(MemberState.MAXIMUM_WAIT_MILLIS, TimeUnit.MILLISECONDS);
			}
			return this.state.running;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
		finally {
			this.state.lock.unlock();
		}
	}

	private Object handle(Object request) {
		return switch (request) {
			case VoteRequest vote -> this.member.handleVote(vote);
			case AppendRequest append -> this.member.handleAppend(append);
			case SnapshotChunk chunk -> this.member.handleSnapshot(chunk);
			case JoinRequest join -> this.member.handleJoin(join);
			case LeaveRequest leave -> this.member.handleLeave(leave);
			default ->
				throw new LavenderroadException("control member does not answer " + request.getClass().getSimpleName());
		};
	}

	private void handleOneWay(Object message) {
		switch (message) {
			case CommitNotice notice -> this.member.handleCommitNotice(notice);
			case TimeoutNow request -> this.member.handleTimeoutNow(request);
			default -> Logger.warn("control: Ignored a {} message.", message.getClass().getSimpleName());
		}
	}

	/**
	 * Handles messages on tasks of the member. The threads of a connection are
	 * interrupted when it closes, and an interrupt during a write would close the log
	 * file.
	 */
	private final class Handler implements ConnectionHandler {

		@Override
		public void received(Connection connection, Object message) {
			try {
				MemberTasks.this.executor.execute(() -> handleOneWay(message));
			}
			catch (RejectedExecutionException ex) {
				Logger.debug("control: Ignored a message while stopping.");
			}
		}

		@Override
		public Object answer(Connection connection, Object request) {
			try {
				return MemberTasks.this.executor.submit(() -> handle(request)).get();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				throw new LavenderroadException("connection closed before the answer", ex);
			}
			catch (ExecutionException | RejectedExecutionException ex) {
				throw new LavenderroadException("request failed: " + ex.getMessage(), ex);
			}
		}

	}

}
