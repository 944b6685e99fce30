package io.lavenderroad.distribution;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.lavenderroad.distribution.DistributionMessages.Hop;

/**
 * Decides which candidates one round of a search for a parent asks and when. A candidate
 * that does not answer at once gets a head start over the next one and goes on beside it,
 * so that dead and hung processes cost their head start and not a time-out each. Source:
 * RFC 8305, section 5. Only the task that searches uses it.
 */
final class SearchRound {

	/**
	 * Head start of a candidate that has not accepted the connection yet, many times the
	 * delay between failure domains.
	 */
	static final long CONNECT_HEAD_START_MILLIS = 150;

	/**
	 * Head start of a candidate that is alive and has the request. A new relay first
	 * fetches what it needs; asking others early would make more relays.
	 */
	static final long ANSWER_HEAD_START_MILLIS = 500;

	static final int MOST_AT_ONCE = 4;

	private final ParentCandidates candidates;

	private final Map<Hop, Boolean> connectedByRunning = new LinkedHashMap<>();

	private final Map<String, Hop> redirectors = new HashMap<>();

	private Optional<Hop> lastStarted = Optional.empty();

	private long lastStartMillis;

	private boolean exhausted;

	SearchRound(ParentCandidates candidates) {
		this.candidates = candidates;
	}

	/**
	 * Returns the candidate that is to be asked now, if one is due.
	 * @param now milliseconds of the clock
	 * @return the candidate, which counts as running from now on
	 */
	Optional<Hop> start(long now) {
		if (waitMillis(now) > 0) {
			return Optional.empty();
		}
		Optional<Hop> next = this.candidates.next();
		this.exhausted = next.isEmpty();
		next.ifPresent((candidate) -> {
			this.connectedByRunning.put(candidate, false);
			this.lastStartMillis = now;
		});
		this.lastStarted = next;
		return next;
	}

	/**
	 * Returns how long nothing is due unless an attempt goes on or ends.
	 * @param now milliseconds of the clock
	 * @return milliseconds, 0 if a candidate is due, {@code Long.MAX_VALUE} if none will
	 * be
	 */
	long waitMillis(long now) {
		if (this.exhausted || this.connectedByRunning.size() >= MOST_AT_ONCE) {
			return Long.MAX_VALUE;
		}
		if (this.lastStarted.isEmpty()) {
			return 0;
		}
		boolean connected = this.connectedByRunning.getOrDefault(this.lastStarted.get(), false);
		long headStart = connected ? ANSWER_HEAD_START_MILLIS : CONNECT_HEAD_START_MILLIS;
		return Math.max(0, this.lastStartMillis + headStart - now);
	}

	/**
	 * Tells whether the round has ended without a parent.
	 * @return true if no attempt runs and no candidate is left
	 */
	boolean isOver() {
		return this.exhausted && this.connectedByRunning.isEmpty();
	}

	/**
	 * Notes that a candidate is alive and has the request.
	 * @param candidate the candidate
	 */
	void connected(Hop candidate) {
		this.connectedByRunning.replace(candidate, true);
	}

	void redirected(Hop candidate, List<Hop> targets) {
		ended(candidate);
		targets.forEach((target) -> this.redirectors.put(target.address(), candidate));
		this.candidates.redirected(targets);
	}

	void deferred(Hop candidate, long retryAfterMillis) {
		ended(candidate);
		this.candidates.deferred(candidate, retryAfterMillis);
	}

	void failed(Hop candidate) {
		ended(candidate);
		this.candidates.failed(this.redirectors.get(candidate.address()), candidate);
	}

	// The next candidate follows at once, also one that a redirect has named.
	private void ended(Hop candidate) {
		this.connectedByRunning.remove(candidate);
		this.lastStarted = Optional.empty();
		this.exhausted = false;
	}

}
