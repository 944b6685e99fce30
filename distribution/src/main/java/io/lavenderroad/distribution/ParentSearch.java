package io.lavenderroad.distribution;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Predicate;

import io.lavenderroad.core.Clock;
import io.lavenderroad.core.wire.CallFailure;
import io.lavenderroad.core.wire.Connection;
import io.lavenderroad.distribution.DistributionMessages.Accepted;
import io.lavenderroad.distribution.DistributionMessages.Attach;
import io.lavenderroad.distribution.DistributionMessages.Deferred;
import io.lavenderroad.distribution.DistributionMessages.Hop;
import io.lavenderroad.distribution.DistributionMessages.Redirected;
import io.vavr.control.Either;
import org.tinylog.Logger;

/**
 * One round of a search for a parent. Each attempt runs on a virtual thread that
 * connects, sends the attach request and posts the result as an event; the searching task
 * handles the events.
 */
final class ParentSearch {

	private final String selfId;

	private final Clock clock;

	private final Function<String, Either<CallFailure, Connection>> dialer;

	private final ParentCandidates candidates;

	private final Function<List<String>, Attach> request;

	private final SearchRound round;

	private final BlockingQueue<Runnable> events = new LinkedBlockingQueue<>();

	private final Map<Hop, Attempt> runningAttempts = new HashMap<>();

	private Predicate<AcceptedParent> usable = (found) -> true;

	private boolean found;

	private int attemptCount;

	/**
	 * Creates a search.
	 * @param selfId id of this process, for the logs
	 * @param clock source of time
	 * @param dialer opens a connection to an address
	 * @param candidates candidates to ask
	 * @param request creates the request from the ids of processes to avoid
	 */
	ParentSearch(String selfId, Clock clock, Function<String, Either<CallFailure, Connection>> dialer,
			ParentCandidates candidates, Function<List<String>, Attach> request) {
		this.selfId = selfId;
		this.clock = clock;
		this.dialer = dialer;
		this.candidates = candidates;
		this.request = request;
		this.round = new SearchRound(candidates);
	}

	/**
	 * Asks candidates until this process is attached to one or none is left.
	 * @param use attaches to the parent; false if the parent is unsuitable
	 * @param stopped returns whether the search is to end
	 * @return true if this process is attached
	 * @throws InterruptedException if the thread is interrupted
	 */
	boolean run(Predicate<AcceptedParent> use, BooleanSupplier stopped) throws InterruptedException {
		this.usable = use;
		try {
			startDue();
			while (!this.found && !this.round.isOver() && !stopped.getAsBoolean()) {
				long waitMillis = Math.min(this.round.waitMillis(this.clock.millis()), TreeTimes.CHECK_MILLIS);
				Runnable event = this.events.poll(waitMillis, TimeUnit.MILLISECONDS);
				if (event != null) {
					event.run();
				}
				startDue();
			}
			return this.found;
		}
		finally {
			this.runningAttempts.values().forEach(Attempt::abandon);
		}
	}

	/**
	 * Returns the number of candidates that were asked.
	 * @return count
	 */
	int attemptCount() {
		return this.attemptCount;
	}

	private void startDue() {
		Optional<Hop> due = this.found ? Optional.empty() : this.round.start(this.clock.millis());
		while (due.isPresent()) {
			Attempt attempt = new Attempt(due.get(), this.request.apply(List.copyOf(this.candidates.avoided())));
			this.runningAttempts.put(due.get(), attempt);
			this.attemptCount++;
			Thread.ofVirtual().name("attach to " + due.get().address()).start(attempt::run);
			due = this.round.start(this.clock.millis());
		}
	}

	private void answered(Attempt attempt, Connection connection, Either<CallFailure, DistributionMessage> answer) {
		this.runningAttempts.remove(attempt.candidate);
		if (!this.found && answer.isRight() && answer.get() instanceof Accepted accepted
				&& this.usable.test(new AcceptedParent(connection, accepted))) {
			this.found = true;
			return;
		}
		connection.close("the parent was not used");
		if (answer.isRight() && answer.get() instanceof Redirected redirected) {
			this.round.redirected(attempt.candidate, redirected.targets());
		}
		else if (answer.isRight() && answer.get() instanceof Deferred deferred) {
			attempt.logNotAttached(deferred.reason());
			this.round.deferred(attempt.candidate, deferred.retryAfterMillis());
		}
		else {
			failed(attempt, answer.fold(CallFailure::reason, String::valueOf));
		}
	}

	private void failed(Attempt attempt, String reason) {
		this.runningAttempts.remove(attempt.candidate);
		attempt.logNotAttached(reason);
		this.round.failed(attempt.candidate);
	}

	/**
	 * A parent that accepted this process.
	 *
	 * @param connection connection to the parent
	 * @param accepted its response
	 */
	record AcceptedParent(Connection connection, Accepted accepted) {

	}

	/**
	 * Attempt to attach to one candidate. Its thread writes the fields and posts the
	 * results as events.
	 */
	private final class Attempt {

		private final Hop candidate;

		private final Attach attach;

		private final long startMillis = ParentSearch.this.clock.millis();

		private volatile boolean abandoned;

		private volatile Connection connection;

		Attempt(Hop candidate, Attach attach) {
			this.candidate = candidate;
			this.attach = attach;
		}

		void run() {
			Either<CallFailure, Connection> opened = ParentSearch.this.dialer.apply(this.candidate.address());
			if (opened.isLeft()) {
				String reason = opened.getLeft().reason();
				ParentSearch.this.events.add(() -> failed(this, reason));
				return;
			}
			this.connection = opened.get();
			if (this.abandoned) {
				closeAbandoned();
				return;
			}
			ParentSearch.this.events.add(() -> ParentSearch.this.round.connected(this.candidate));
			Either<CallFailure, DistributionMessage> answer = this.connection.call(this.attach,
					TreeTimes.ATTACH_TIMEOUT_MILLIS, DistributionMessage.class);
			ParentSearch.this.events.add(() -> answered(this, this.connection, answer));
		}

		void abandon() {
			this.abandoned = true;
			if (this.connection != null) {
				closeAbandoned();
			}
		}

		private void closeAbandoned() {
			this.connection.close("another parent accepted");
		}

		private void logNotAttached(String reason) {
			Logger.info("distribution: Node {} could not attach to {} after {} ms: {}.", ParentSearch.this.selfId,
					this.candidate.address(), ParentSearch.this.clock.millis() - this.startMillis, reason);
		}

	}

}
