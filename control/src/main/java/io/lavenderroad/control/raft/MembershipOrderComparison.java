package io.lavenderroad.control.raft;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;

/**
 * Compares several orders of replacing member 1 by member 4: for each step it counts the
 * members whose loss alone stops writes. It uses the quorum rules of the control group,
 * and for the order of the control group also the member sets that are stored in its log.
 */
public final class MembershipOrderComparison {

	private static final List<String> OLD = List.of("1", "2", "3");

	private static final List<String> REMAINING = List.of("2", "3");

	private static final List<String> NEW = List.of("2", "3", "4");

	private static final int REQUESTED_VOTERS = 3;

	private MembershipOrderComparison() {
	}

	/**
	 * Prints the table as Markdown.
	 * @param arguments none
	 */
	public static void main(String[] arguments) {
		print(System.out);
	}

	/**
	 * Returns the steps of every order.
	 * @return the steps in the order of the table
	 */
	static List<Step> steps() {
		List<Step> steps = new ArrayList<>(addBeforeRemove());
		String removeFirst = "remove before add";
		steps.add(new Step(removeFirst, "start", Quorum.majority(OLD), OLD));
		steps.add(new Step(removeFirst, "1 removed, 4 catches up", Quorum.majority(REMAINING), REMAINING));
		steps.add(new Step(removeFirst, "4 is a voter", Quorum.majority(NEW), NEW));
		String demoteFirst = "joint consensus, demotes first";
		steps.add(new Step(demoteFirst, "start", Quorum.majority(OLD), OLD));
		steps.add(new Step(demoteFirst, "joint: 1 is demoted", Quorum.joint(OLD, REMAINING), OLD));
		steps.add(new Step(demoteFirst, "1 has left, 4 catches up", Quorum.majority(REMAINING), REMAINING));
		steps.add(new Step(demoteFirst, "joint: 4 is promoted", Quorum.joint(REMAINING, NEW), NEW));
		steps.add(new Step(demoteFirst, "end", Quorum.majority(NEW), NEW));
		String simultaneous = "joint consensus, both at once";
		steps.add(new Step(simultaneous, "start", Quorum.majority(OLD), OLD));
		steps.add(new Step(simultaneous, "joint, 4 is still empty", Quorum.joint(OLD, NEW), OLD));
		steps.add(new Step(simultaneous, "joint, 4 is caught up", Quorum.joint(OLD, NEW), List.of("1", "2", "3", "4")));
		steps.add(new Step(simultaneous, "end", Quorum.majority(NEW), NEW));
		return steps;
	}

	private static List<Step> addBeforeRemove() {
		String name = "add before remove (control group)";
		MemberSet start = MemberSet.of(OLD.stream().map((id) -> Member.voter(id, "")).toList());
		MemberSet learner = start.begin(MemberChange.replace("1", "4", ""));
		MemberSet promoted = learner.promoteAdded();
		MemberSet end = promoted.removeReplaced();
		return List.of(new Step(name, "start", start.quorum(), OLD),
				new Step(name, "4 is a learner and catches up", learner.quorum(), OLD),
				new Step(name, "4 is a voter", promoted.quorum(), List.of("1", "2", "3", "4")),
				new Step(name, "1 removed", end.quorum(), NEW));
	}

	private static void print(PrintStream output) {
		output.println("| order | step | voter lists | smallest list | all alive: losses that stop writes "
				+ "| 1 lost before: further losses that stop writes |");
		output.println("|---|---|---|---|---|---|");
		for (Step step : steps()) {
			output.println(String.format(Locale.ROOT, "| %s | %s | %s | %d of %d | %s | %s |", step.order(),
					step.name(), step.quorum(), step.quorum().smallestVoterList(), REQUESTED_VOTERS,
					describe(step.stoppingLosses(Set.of())), describe(step.stoppingLosses(Set.of("1")))));
		}
	}

	private static String describe(Set<String> losses) {
		return losses.size() + (losses.isEmpty() ? "" : " (" + String.join(", ", losses) + ")");
	}

	/**
	 * One step of a replacement.
	 *
	 * @param order name of the order
	 * @param name name of the step
	 * @param quorum the quorum for commits in this step
	 * @param caughtUp members that hold the whole log
	 */
	record Step(String order, String name, Quorum quorum, List<String> caughtUp) {

		/**
		 * Returns the members whose loss, one at a time, stops writes.
		 * @param lost members that are already lost
		 * @return sorted ids
		 */
		Set<String> stoppingLosses(Set<String> lost) {
			Set<String> result = new TreeSet<>();
			for (String loss : this.caughtUp) {
				boolean writes = this.quorum.isSatisfiedBy(
						(voter) -> this.caughtUp.contains(voter) && !lost.contains(voter) && !voter.equals(loss));
				if (!lost.contains(loss) && !writes) {
					result.add(loss);
				}
			}
			return result;
		}

	}

}
