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
 * One round of a search for a parent. Each attempt is a virtual thread that connects,
 * asks and reports; the task that searches decides.
 */
final class ParentSearch {

	private final String selfId;

	private final Clock clock;

	private final Function<String, Either<CallFailure, Connection>> dialer;

	private final ParentCandidates candidates;

	private final Function<List<String>, Attach> request;

	private final SearchRound round;

	private final BlockingQueue<Runnable> events = new LinkedBlockingQueue<>();

	private final Map<Hop, Attempt> attempts = new HashMap<>();

	private Predicate<Found> usable = (found) -> true;

	private boolean found;

	private int tried;

	/**
	 * Creates a search.
	 * @param selfId id of this process, for the logs
	 * @param clock source of time
	 * @param dialer opens a connection to an address
	 * @param candidates whom to ask
	 * @param request makes the request from the ids of processes that cannot be used
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
	 * Asks candidates until one is used or none is left.
	 * @param use uses a place; false if the place is no good
	 * @param stopped tells whether the search is to end
	 * @return true if a place is used
	 * @throws InterruptedException if the thread is interrupted
	 */
	boolean run(Predicate<Found> use, BooleanSupplier stopped) throws InterruptedException {
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
			this.attempts.values().forEach(Attempt::abandon);
		}
	}

	/**
	 * Returns how many candidates were asked.
	 * @return count
	 */
	int tried() {
		return this.tried;
	}

	private void startDue() {
		Optional<Hop> due = this.found ? Optional.empty() : this.round.start(this.clock.millis());
		while (due.isPresent()) {
			Attempt attempt = new Attempt(due.get(), this.request.apply(List.copyOf(this.candidates.avoided())));
			this.attempts.put(due.get(), attempt);
			this.tried++;
			Thread.ofVirtual().name("attach to " + due.get().address()).start(attempt::run);
			due = this.round.start(this.clock.millis());
		}
	}

	private void answered(Attempt attempt, Connection connection, Either<CallFailure, DistributionMessage> answer) {
		this.attempts.remove(attempt.candidate);
		if (!this.found && answer.isRight() && answer.get() instanceof Accepted accepted
				&& this.usable.test(new Found(connection, accepted))) {
			this.found = true;
			return;
		}
		connection.close("no place here");
		if (answer.isRight() && answer.get() instanceof Redirected redirected) {
			this.round.redirected(attempt.candidate, redirected.targets());
		}
		else if (answer.isRight() && answer.get() instanceof Deferred deferred) {
			attempt.logNoPlace(deferred.reason());
			this.round.deferred(attempt.candidate, deferred.retryAfterMillis());
		}
		else {
			failed(attempt, answer.fold(CallFailure::reason, String::valueOf));
		}
	}

	private void failed(Attempt attempt, String reason) {
		this.attempts.remove(attempt.candidate);
		attempt.logNoPlace(reason);
		this.round.failed(attempt.candidate);
	}

	/**
	 * A place that was granted.
	 *
	 * @param connection connection to the parent
	 * @param accepted its answer
	 */
	record Found(Connection connection, Accepted accepted) {

	}

	/**
	 * One candidate that is asked. The fields are written by its own thread; what it
	 * finds out is handed over as an event.
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

		private void logNoPlace(String reason) {
			Logger.info("distribution: Node {} got no place at {} after {} ms: {}.", ParentSearch.this.selfId,
					this.candidate.address(), ParentSearch.this.clock.millis() - this.startMillis, reason);
		}

	}

}
