package io.lavenderroad.distribution;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.lavenderroad.distribution.DistributionMessages.Hop;

/**
 * Candidates of one round of a search for a parent, in the order in which they are tried:
 * ancestors from the nearest on, then seeds. The targets of a redirect precede all
 * others.
 */
final class ParentCandidates {

	/**
	 * Maximum number of attempts in one round. Outdated redirects could otherwise form an
	 * endless cycle.
	 */
	private static final int MAXIMUM_ATTEMPTS = 24;

	private static final int MAXIMUM_DEFERRING = 3;

	private final Deque<Hop> queue = new ArrayDeque<>();

	private final Set<String> tried = new HashSet<>();

	private final Set<String> avoided = new HashSet<>();

	private final List<Hop> deferring = new ArrayList<>();

	private final String self;

	private int attempts;

	private long retryAfterMillis;

	ParentCandidates(String self, List<Hop> ancestors, List<String> seeds, Optional<Hop> lostParent) {
		this.self = self;
		this.queue.addAll(ancestors);
		seeds.forEach((seed) -> this.queue.add(new Hop("", seed)));
		lostParent.ifPresent((lost) -> {
			this.avoided.add(lost.id());
			this.tried.add(lost.address());
		});
	}

	/**
	 * Returns the next candidate.
	 * @return id, empty for a seed, and address; or empty at the end of the round
	 */
	Optional<Hop> next() {
		while (!this.queue.isEmpty() && this.attempts < MAXIMUM_ATTEMPTS) {
			Hop hop = this.queue.poll();
			if (hop.address().isEmpty() || hop.id().equals(this.self) || this.avoided.contains(hop.id())) {
				continue;
			}
			if (this.tried.add(hop.address())) {
				this.attempts++;
				return Optional.of(hop);
			}
		}
		return Optional.empty();
	}

	void redirected(List<Hop> targets) {
		for (int index = targets.size() - 1; index >= 0; index--) {
			this.queue.addFirst(targets.get(index));
		}
	}

	/**
	 * Records a failed candidate. The process that redirected to it is queued again, so
	 * that it can name another target.
	 * @param redirector process that named the candidate, or null
	 * @param candidate the candidate
	 */
	void failed(Hop redirector, Hop candidate) {
		if (!candidate.id().isEmpty()) {
			this.avoided.add(candidate.id());
		}
		if (redirector != null && this.queue.stream().noneMatch((hop) -> hop.address().equals(redirector.address()))) {
			this.tried.remove(redirector.address());
			this.queue.addLast(redirector);
		}
	}

	/**
	 * Records a candidate that deferred the request.
	 * @param candidate the candidate
	 * @param millis time after which the request may be repeated
	 */
	void deferred(Hop candidate, long millis) {
		if (this.deferring.size() < MAXIMUM_DEFERRING) {
			this.deferring.add(candidate);
		}
		this.retryAfterMillis = (this.retryAfterMillis == 0) ? millis : Math.min(this.retryAfterMillis, millis);
	}

	/**
	 * Returns the shortest delay that a candidate asked for.
	 * @return milliseconds, 0 if none did
	 */
	long retryAfterMillis() {
		return this.retryAfterMillis;
	}

	/**
	 * Returns the candidates that the next round begins with. Otherwise each caller that
	 * a relay deferred would ask a root again and load it with the requests of the whole
	 * mesh.
	 * @return the first candidates that deferred the request
	 */
	List<Hop> deferring() {
		return List.copyOf(this.deferring);
	}

	Set<String> avoided() {
		return this.avoided;
	}

}
