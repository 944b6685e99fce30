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
 * Order in which one round of a search for a parent tries addresses: ancestors from the
 * nearest, then seeds, and the targets of a redirect before all others.
 */
final class ParentCandidates {

	/**
	 * Most attempts of one round. Stale redirects could otherwise lead around for ever.
	 */
	private static final int MOST_ATTEMPTS = 24;

	private static final int MOST_DEFERRING = 3;

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
		while (!this.queue.isEmpty() && this.attempts < MOST_ATTEMPTS) {
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
	 * Notes a candidate that gave no place, so that its parent can name another one.
	 * @param redirector who named the candidate, or null
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
	 * Notes a candidate that asked to come back later.
	 * @param candidate the candidate
	 * @param millis when it wants to see this process again
	 */
	void deferred(Hop candidate, long millis) {
		if (this.deferring.size() < MOST_DEFERRING) {
			this.deferring.add(candidate);
		}
		this.retryAfterMillis = (this.retryAfterMillis == 0) ? millis : Math.min(this.retryAfterMillis, millis);
	}

	/**
	 * Returns the shortest wait that a candidate stated.
	 * @return milliseconds, 0 if none did
	 */
	long retryAfterMillis() {
		return this.retryAfterMillis;
	}

	/**
	 * Returns where the next round begins. Otherwise each caller that a relay turned away
	 * would ask a root again, which has to serve everybody.
	 * @return the first candidates that asked to come back
	 */
	List<Hop> deferring() {
		return List.copyOf(this.deferring);
	}

	Set<String> avoided() {
		return this.avoided;
	}

}
