package io.lavenderroad.control.raft;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * The voters whose agreement is required for a decision: a majority of each voter list.
 * The control group uses a single list. Two lists represent joint consensus (Ongaro and
 * Ousterhout, "In Search of an Understandable Consensus Algorithm", section 6), which
 * {@link MembershipOrderComparison} compares with the order that the control group uses.
 */
public final class Quorum {

	private final List<Set<String>> voterLists;

	private Quorum(List<Set<String>> voterLists) {
		this.voterLists = voterLists;
	}

	/**
	 * Requires a majority of one list.
	 * @param voters ids of the voters
	 * @return the quorum; it is never satisfied if there are no voters
	 */
	public static Quorum majority(Collection<String> voters) {
		return new Quorum(List.of(Set.copyOf(voters)));
	}

	/**
	 * Requires a majority of both lists.
	 * @param outgoing ids of the old voters
	 * @param incoming ids of the new voters
	 * @return the quorum
	 */
	public static Quorum joint(Collection<String> outgoing, Collection<String> incoming) {
		return new Quorum(List.of(Set.copyOf(outgoing), Set.copyOf(incoming)));
	}

	/**
	 * Returns the voters of all lists.
	 * @return sorted ids
	 */
	public Set<String> voters() {
		Set<String> all = new TreeSet<>();
		this.voterLists.forEach(all::addAll);
		return all;
	}

	/**
	 * Returns the size of the smallest voter list.
	 * @return count of voters
	 */
	public int smallestVoterList() {
		return this.voterLists.stream().mapToInt(Set::size).min().orElse(0);
	}

	/**
	 * Returns whether the agreeing voters form a quorum.
	 * @param agrees whether a voter agrees
	 * @return true if they are a majority of each list
	 */
	public boolean isSatisfiedBy(Predicate<String> agrees) {
		return this.voterLists.stream()
			.allMatch((voters) -> voters.stream().filter(agrees).count() >= voters.size() / 2 + 1);
	}

	/**
	 * Returns the highest value that a quorum has reached, such as a log index.
	 * @param reached the value that a voter has reached
	 * @return the value, or 0 if there are no voters
	 */
	public long highestReachedByQuorum(ToLongFunction<String> reached) {
		return voters().stream()
			.mapToLong(reached)
			.filter((value) -> isSatisfiedBy((voter) -> reached.applyAsLong(voter) >= value))
			.max()
			.orElse(0);
	}

	@Override
	public String toString() {
		return String.join(" and ",
				this.voterLists.stream().map((voters) -> new TreeSet<>(voters).toString()).toList());
	}

}
