package io.lavenderroad.distribution;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

import io.lavenderroad.distribution.DistributionMessages.Hop;

/**
 * Decides where a caller finds its place in the tree.
 *
 * @param mostChildren most children of this parent
 * @param mostPerFailureDomain most children of one failure domain
 */
record Placement(int mostChildren, int mostPerFailureDomain) {

	/**
	 * A root takes two children of each failure domain, so that the loss of one leaves a
	 * relay beside the callers. The total bounds the open connections of a root.
	 */
	static final Placement ROOT = new Placement(128, 2);

	/**
	 * A relay takes 16 children: 2, 16 and 16 give 512 nodes per failure domain at depth
	 * 3, and the relay still fits the budget of a node.
	 */
	static final Placement RELAY = new Placement(16, 16);

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
		if (others.size() < this.mostChildren && near.size() < this.mostPerFailureDomain) {
			return Decision.ACCEPTED;
		}
		List<Hop> targets = targets(near, avoided);
		if (targets.isEmpty() && others.size() >= this.mostChildren) {
			targets = targets(others, avoided);
		}
		// Every child that could serve the caller is out of its reach. Some room beyond
		// the limit keeps it connected until the lost children are noticed.
		if (targets.isEmpty() && others.size() < this.mostChildren && near.size() < 2 * this.mostPerFailureDomain) {
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
