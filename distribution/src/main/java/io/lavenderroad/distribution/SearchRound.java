package io.lavenderroad.distribution;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.lavenderroad.distribution.DistributionMessages.Hop;

/**
 * Schedules the attempts of one round of a search for a parent. If a candidate does not
 * respond within a delay, the next attempt starts concurrently, so that a crashed or
 * unresponsive process costs this delay and not a full timeout. Source: RFC 8305, section
 * 5. Not thread-safe; only the searching task uses it.
 */
final class SearchRound {

	/**
	 * Delay before the next attempt while the last candidate has not accepted the
	 * connection, many times the network latency between failure domains.
	 */
	static final long CONNECT_ATTEMPT_DELAY_MILLIS = 150;

	/**
	 * Delay before the next attempt while the last candidate is connected and has the
	 * request. A new relay first fetches the services that it needs; a shorter delay
	 * would turn more nodes into relays.
	 */
	static final long ANSWER_ATTEMPT_DELAY_MILLIS = 500;

	static final int MAXIMUM_CONCURRENT_ATTEMPTS = 4;

	private final ParentCandidates candidates;

	private final Map<Hop, Boolean> connectedByCandidate = new LinkedHashMap<>();

	private final Map<String, Hop> redirectors = new HashMap<>();

	private Optional<Hop> lastStarted = Optional.empty();

	private long lastStartMillis;

	private boolean exhausted;

	SearchRound(ParentCandidates candidates) {
		this.candidates = candidates;
	}

	/**
	 * Starts the next attempt if one is due.
	 * @param now milliseconds of the clock
	 * @return the candidate to ask, which counts as running from now on
	 */
	Optional<Hop> start(long now) {
		if (waitMillis(now) > 0) {
			return Optional.empty();
		}
		Optional<Hop> next = this.candidates.next();
		this.exhausted = next.isEmpty();
		next.ifPresent((candidate) -> {
			this.connectedByCandidate.put(candidate, false);
			this.lastStartMillis = now;
		});
		this.lastStarted = next;
		return next;
	}

	/**
	 * Returns the time until the next attempt is due, unless a running attempt connects
	 * or ends first.
	 * @param now milliseconds of the clock
	 * @return milliseconds, 0 if a candidate is due, {@code Long.MAX_VALUE} if no attempt
	 * can start
	 */
	long waitMillis(long now) {
		if (this.exhausted || this.connectedByCandidate.size() >= MAXIMUM_CONCURRENT_ATTEMPTS) {
			return Long.MAX_VALUE;
		}
		if (this.lastStarted.isEmpty()) {
			return 0;
		}
		boolean connected = this.connectedByCandidate.getOrDefault(this.lastStarted.get(), false);
		long attemptDelayMillis = connected ? ANSWER_ATTEMPT_DELAY_MILLIS : CONNECT_ATTEMPT_DELAY_MILLIS;
		return Math.max(0, this.lastStartMillis + attemptDelayMillis - now);
	}

	/**
	 * Returns whether the round has ended without a parent.
	 * @return true if no attempt runs and no candidate is left
	 */
	boolean isOver() {
		return this.exhausted && this.connectedByCandidate.isEmpty();
	}

	/**
	 * Records that a candidate has accepted the connection.
	 * @param candidate the candidate
	 */
	void connected(Hop candidate) {
		this.connectedByCandidate.replace(candidate, true);
	}

	void redirected(Hop candidate, List<Hop> targets) {
		attemptEnded(candidate);
		targets.forEach((target) -> this.redirectors.put(target.address(), candidate));
		this.candidates.redirected(targets);
	}

	void deferred(Hop candidate, long retryAfterMillis) {
		attemptEnded(candidate);
		this.candidates.deferred(candidate, retryAfterMillis);
	}

	void failed(Hop candidate) {
		attemptEnded(candidate);
		this.candidates.failed(this.redirectors.get(candidate.address()), candidate);
	}

	// The next attempt may start immediately, also for a target of a redirect.
	private void attemptEnded(Hop candidate) {
		this.connectedByCandidate.remove(candidate);
		this.lastStarted = Optional.empty();
		this.exhausted = false;
	}

}
