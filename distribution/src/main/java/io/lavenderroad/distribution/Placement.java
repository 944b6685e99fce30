package io.lavenderroad.distribution;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

import io.lavenderroad.distribution.DistributionMessages.Hop;

/**
 * Decides whether a caller attaches to this parent or is redirected to one of its
 * children.
 *
 * @param directChildren number of children that are accepted regardless of their failure
 * domain
 * @param maximumChildren maximum number of children of this parent
 * @param minimumPerFailureDomain number of children that each failure domain may have
 * when the direct ones are used up
 */
record Placement(int directChildren, int maximumChildren, int minimumPerFailureDomain) {

	/**
	 * A root serves as many nodes as possible directly, since each relay adds a slow link
	 * and one more process that a change depends on. The remaining connections are
	 * reserved for two relays in each failure domain, so that one is left after the loss
	 * of the other.
	 */
	static final Placement ROOT = new Placement(96, 128, 2);

	/**
	 * A relay accepts 16 children, which fits the resource budget of a node.
	 */
	static final Placement RELAY = new Placement(16, 16, 16);

	private static final int MAXIMUM_TARGETS = 3;

	/**
	 * Decides about one caller.
	 * @param callerId id of the caller
	 * @param failureDomain failure domain of the caller
	 * @param avoided ids of processes that the caller cannot reach or use
	 * @param children the present children
	 * @return the decision; without acceptance or targets the caller has to retry later
	 */
	Decision decide(String callerId, String failureDomain, Set<String> avoided, Collection<ChildState> children) {
		List<ChildState> others = children.stream().filter((child) -> !child.hop().id().equals(callerId)).toList();
		List<ChildState> sameDomain = others.stream()
			.filter((child) -> child.failureDomain().equals(failureDomain))
			.toList();
		boolean reserved = others.size() < this.maximumChildren && sameDomain.size() < this.minimumPerFailureDomain;
		if (others.size() < this.directChildren || reserved) {
			return Decision.ACCEPTED;
		}
		List<Hop> targets = targets(sameDomain, avoided);
		if (targets.isEmpty() && others.size() >= this.maximumChildren) {
			targets = targets(others, avoided);
		}
		// The caller can reach none of the children that could serve it. Capacity beyond
		// the limit per failure domain keeps the caller connected until the loss of these
		// children is detected.
		if (targets.isEmpty() && others.size() < this.maximumChildren
				&& sameDomain.size() < 2 * this.minimumPerFailureDomain) {
			return Decision.ACCEPTED;
		}
		return new Decision(false, targets);
	}

	private static List<Hop> targets(List<ChildState> children, Set<String> avoided) {
		return children.stream()
			.filter((child) -> !avoided.contains(child.hop().id()))
			.sorted(Comparator.comparingInt(Placement::priority)
				.thenComparingInt(Placement::sizeOrder)
				.thenComparing((child) -> child.hop().id()))
			.limit(MAXIMUM_TARGETS)
			.map(ChildState::hop)
			.toList();
	}

	// Relays with free capacity come first, since each new relay holds the configuration
	// of the whole mesh. Leaves, which become new relays, come before full relays, which
	// keeps the tree flat.
	private static int priority(ChildState child) {
		if (child.subtreeNodes() > RELAY.maximumChildren()) {
			return 2;
		}
		return (child.subtreeNodes() > 1) ? 0 : 1;
	}

	private static int sizeOrder(ChildState child) {
		return (priority(child) == 0) ? -child.subtreeNodes() : child.subtreeNodes();
	}

	/**
	 * State of a child that the decision depends on.
	 *
	 * @param hop id and address
	 * @param failureDomain its failure domain
	 * @param subtreeNodes number of nodes in its subtree, including itself and callers
	 * that were recently redirected to it
	 */
	record ChildState(Hop hop, String failureDomain, int subtreeNodes) {
	}

	/**
	 * Decision about a caller.
	 *
	 * @param accepted whether the caller attaches to this parent
	 * @param targets children to try instead
	 */
	record Decision(boolean accepted, List<Hop> targets) {

		static final Decision ACCEPTED = new Decision(true, List.of());

	}

}
