package io.lavenderroad.distribution;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

import io.lavenderroad.distribution.DistributionMessages.Hop;

/**
 * Decides where a caller finds its place in the tree.
 *
 * @param directChildren children that are taken whatever their failure domain is
 * @param mostChildren most children of this parent
 * @param leastPerFailureDomain children that each failure domain may have beyond the
 * direct ones
 */
record Placement(int directChildren, int mostChildren, int leastPerFailureDomain) {

	/**
	 * A root serves as many nodes as it can itself, since each relay is a slow link and
	 * one more process that a change depends on. The rest of its connections is kept for
	 * two relays in each failure domain, so that the loss of one leaves the other.
	 */
	static final Placement ROOT = new Placement(96, 128, 2);

	/**
	 * A relay takes 16 children, which still fits the budget of a node.
	 */
	static final Placement RELAY = new Placement(16, 16, 16);

	private static final int MOST_TARGETS = 3;

	/**
	 * Decides about one caller.
	 * @param callerId id of the caller
	 * @param failureDomain failure domain of the caller
	 * @param avoided ids of processes that the caller cannot use
	 * @param children the present children
	 * @return where to go; no targets and not accepted means to come back later
	 */
	Decision decide(String callerId, String failureDomain, Set<String> avoided, Collection<Place> children) {
		List<Place> others = children.stream().filter((child) -> !child.hop().id().equals(callerId)).toList();
		List<Place> near = others.stream().filter((child) -> child.failureDomain().equals(failureDomain)).toList();
		boolean reserved = others.size() < this.mostChildren && near.size() < this.leastPerFailureDomain;
		if (others.size() < this.directChildren || reserved) {
			return Decision.ACCEPTED;
		}
		List<Hop> targets = targets(near, avoided);
		if (targets.isEmpty() && others.size() >= this.mostChildren) {
			targets = targets(others, avoided);
		}
		// Every child that could serve the caller is out of its reach. Some room beyond
		// the limit keeps it connected until the lost children are noticed.
		if (targets.isEmpty() && others.size() < this.mostChildren && near.size() < 2 * this.leastPerFailureDomain) {
			return Decision.ACCEPTED;
		}
		return new Decision(false, targets);
	}

	private static List<Hop> targets(List<Place> places, Set<String> avoided) {
		return places.stream()
			.filter((child) -> !avoided.contains(child.hop().id()))
			.sorted(Comparator.comparingInt(Placement::rank)
				.thenComparingInt(Placement::order)
				.thenComparing((child) -> child.hop().id()))
			.limit(MOST_TARGETS)
			.map(Place::hop)
			.toList();
	}

	// Relays with room come first, since each new relay holds the whole mesh. New relays
	// come before full ones, which keeps the tree flat.
	private static int rank(Place child) {
		if (child.subtreeNodes() > RELAY.mostChildren()) {
			return 2;
		}
		return (child.subtreeNodes() > 1) ? 0 : 1;
	}

	private static int order(Place child) {
		return (rank(child) == 0) ? -child.subtreeNodes() : child.subtreeNodes();
	}

	/**
	 * A child as the decision sees it.
	 *
	 * @param hop id and address
	 * @param failureDomain its failure domain
	 * @param subtreeNodes itself, nodes below it and callers redirected to it lately
	 */
	record Place(Hop hop, String failureDomain, int subtreeNodes) {
	}

	/**
	 * The decision.
	 *
	 * @param accepted whether the caller gets a place here
	 * @param targets children to try instead
	 */
	record Decision(boolean accepted, List<Hop> targets) {

		static final Decision ACCEPTED = new Decision(true, List.of());

	}

}
