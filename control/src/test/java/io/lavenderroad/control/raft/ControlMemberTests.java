package io.lavenderroad.control.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import io.lavenderroad.control.raft.ProposalOutcome.Accepted;
import io.lavenderroad.control.raft.ProposalOutcome.NotRun;
import io.lavenderroad.control.raft.ProposalOutcome.Unknown;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against two leaders in one term, lost committed entries, refused proposals that
 * are applied, and groups that are unavailable although a quorum is alive.
 */
public class ControlMemberTests {

	private static final String[] THREE = { "a", "b", "c" };

	private static final String[] FIVE = { "a", "b", "c", "d", "e" };

	/**
	 * Time within which changes are accepted again once all disks have room.
	 */
	private static final long ROOM_AGAIN_MILLIS = 2_000;

	@DataProvider
	Object[][] seeds() {
		Object[][] seeds = new Object[40][];
		for (int index = 0; index < seeds.length; index++) {
			seeds[index] = new Object[] { 1_000L + index };
		}
		return seeds;
	}

	@Test(dataProvider = "seeds")
	public void acceptedCommandsAreKeptAndRefusedOnesNeverRun(long seed) {
		SimulatedGroup group = new SimulatedGroup(seed, THREE);
		group.setLossRate(0.1);
		for (int round = 0; round < 200; round++) {
			injectFault(group);
			for (String id : List.copyOf(group.ids())) {
				group.propose(id, "command " + round + " at " + id);
			}
			group.run(100 + group.random().nextInt(400));
		}
		group.setLossRate(0);
		for (String id : List.copyOf(group.ids())) {
			group.heal(id);
			group.restart(id);
		}
		Assert.assertTrue(group.await(group.propose(group.awaitLeader(), "last")) instanceof Accepted);
		group.checkOutcomes();
		int commands = group.member(group.awaitLeader()).stateMachine().commands().size();
		Assert.assertTrue(commands > 20, "accepted commands: " + commands);
	}

	@Test
	public void voteIsGrantedOncePerTermAndNeverToAShorterLog() {
		SimulatedGroup group = new SimulatedGroup(17, THREE);
		String leader = group.awaitLeader();
		String voter = follower(group, leader);
		MemberStatus status = group.status(voter);
		long term = status.term() + 1;
		VoteRequest first = new VoteRequest(term, "x", status.lastIndex(), status.term(), false, false);
		Assert.assertFalse(group.member(voter).handleVote(first).granted(), "the voter is in contact with a leader");
		Assert.assertEquals(group.status(voter).term(), status.term());
		group.restart(voter);
		Assert.assertFalse(group.member(voter)
			.handleVote(new VoteRequest(term, "w", status.lastIndex() - 1, status.term(), false, false))
			.granted());
		Assert.assertTrue(group.member(voter).handleVote(first).granted());
		group.restart(voter);
		Assert.assertFalse(group.member(voter)
			.handleVote(new VoteRequest(term, "y", status.lastIndex() + 9, term, false, false))
			.granted());
		Assert.assertTrue(group.member(voter).handleVote(first).granted(), "a repeated request gets the same answer");
	}

	@Test
	public void entryOfAnEarlierTermIsNotCommittedByCountingCopies() {
		SimulatedGroup group = new SimulatedGroup(18, THREE);
		String old = group.awaitLeader();
		group.isolate(old);
		group.propose(old, "x".repeat(SimulatedGroup.OPTIONS.batchBytes()));
		group.step();
		long index = group.status(old).lastIndex();
		group.restart(old);
		String other = follower(group, old);
		String absent = group.ids().stream().filter((id) -> !id.equals(old) && !id.equals(other)).findFirst().get();
		group.isolate(absent);
		group.heal(old);
		group.stepUntil("a copy of the entry", () -> {
			Assert.assertNotEquals(group.status(old).commitIndex(), index);
			return group.status(old).commitIndex() > index;
		});
		Assert.assertTrue(group.status(old).term() > 1);
	}

	@Test
	public void isolatedMemberThatReturnsDoesNotRaiseTheTerm() {
		SimulatedGroup group = new SimulatedGroup(2, THREE);
		String leader = group.awaitLeader();
		String isolated = follower(group, leader);
		long term = group.status(leader).term();
		group.isolate(isolated);
		group.run(20_000);
		Assert.assertEquals(group.status(isolated).term(), term);
		group.await(group.propose(leader, "meanwhile"));
		group.heal(isolated);
		group.run(5_000);
		Assert.assertEquals(group.leader().orElseThrow(), leader);
		Assert.assertEquals(group.status(leader).term(), term);
		group.checkOutcomes();
	}

	/**
	 * Guards against an isolated leader that grants quota while another one is elected.
	 */
	@Test
	public void isolatedLeaderReportsTheAgeOfItsQuorumContact() {
		SimulatedGroup group = new SimulatedGroup(12, THREE);
		String leader = group.awaitLeader();
		Assert.assertEquals(group.member(follower(group, leader)).leaderQuorumAgeMillis(), Long.MAX_VALUE);
		group.run(2_000);
		Assert.assertTrue(group.member(leader).leaderQuorumAgeMillis() < 500);
		group.isolate(leader);
		group.run(600);
		Assert.assertTrue(group.member(leader).leaderQuorumAgeMillis() >= 500);
		group.run(2_000);
		Assert.assertEquals(group.member(leader).leaderQuorumAgeMillis(), Long.MAX_VALUE);
	}

	/**
	 * Guards against nodes that stay attached to an isolated member because it appears to
	 * be up to date.
	 */
	@Test
	public void isolatedMemberReportsTheAgeOfItsQuorumContact() {
		SimulatedGroup group = new SimulatedGroup(12, THREE);
		String leader = group.awaitLeader();
		String isolated = follower(group, leader);
		group.run(5_000);
		Assert.assertTrue(group.member(isolated).quorumContactAgeMillis() < 1_000);
		group.isolate(isolated);
		group.run(5_000);
		Assert.assertTrue(group.member(isolated).quorumContactAgeMillis() >= 4_000);
		Assert.assertEquals(group.member(leader).quorumContactAgeMillis(), 0);
		group.heal(isolated);
		group.run(5_000);
		Assert.assertTrue(group.member(isolated).quorumContactAgeMillis() < 1_000);
	}

	@Test
	public void isolatedLeaderStepsDownAndAcceptsAndConfirmsNothing() {
		SimulatedGroup group = new SimulatedGroup(3, THREE);
		String old = group.awaitLeader();
		group.isolate(old);
		CompletableFuture<ProposalOutcome> proposal = group.propose(old, "isolated");
		CompletableFuture<OptionalLong> read = group.member(old).requestConfirmation();
		group.step();
		String next = group.awaitLeader();
		Assert.assertNotEquals(next, old);
		Assert.assertTrue(group.await(proposal) instanceof Unknown, "its entry may still be committed");
		Assert.assertEquals(read.join(), OptionalLong.empty());
		Assert.assertNotEquals(group.status(old).role(), MemberRole.LEADER);
		Assert.assertTrue(group.propose(old, "later").join() instanceof NotRun);
		group.heal(old);
		group.checkOutcomes();
	}

	@Test
	public void replacedEntryIsReportedAsNotRun() {
		SimulatedGroup group = new SimulatedGroup(4, THREE);
		String old = group.awaitLeader();
		group.isolate(old);
		CompletableFuture<ProposalOutcome> proposal = group.propose(old, "replaced");
		group.run(600);
		group.heal(old);
		group.awaitLeader();
		Assert.assertTrue(group.await(proposal) instanceof NotRun || proposal.join() instanceof Accepted);
		group.checkOutcomes();
	}

	@Test
	public void confirmedReadSeesTheNewestAcceptedEntry() {
		SimulatedGroup group = new SimulatedGroup(5, THREE);
		String leader = group.awaitLeader();
		Accepted accepted = (Accepted) group.await(group.propose(leader, "written"));
		CompletableFuture<OptionalLong> read = group.member(leader).requestConfirmation();
		Assert.assertFalse(read.isDone(), "a read needs a quorum round");
		group.stepUntil("a confirmed read", read::isDone);
		Assert.assertTrue(read.join().getAsLong() >= accepted.index());
	}

	@Test
	public void followersReceiveACommitBeforeTheNextHeartbeat() {
		SimulatedGroup group = new SimulatedGroup(6, THREE);
		String leader = group.awaitLeader();
		group.run(1_000);
		group.propose(leader, "noticed");
		group.stepUntil("a commit", () -> group.status(leader).commitIndex() == group.status(leader).lastIndex()
				&& group.member(leader).stateMachine().commands().contains("noticed"));
		group.run(50);
		long informed = group.ids()
			.stream()
			.filter((id) -> group.member(id).stateMachine().commands().contains("noticed"))
			.count();
		Assert.assertTrue(informed >= 2, "members that applied the entry: " + informed);
	}

	@Test
	public void concurrentProposalsShareASync() {
		SimulatedGroup group = new SimulatedGroup(7, THREE);
		String leader = group.awaitLeader();
		group.run(200);
		List<CompletableFuture<ProposalOutcome>> outcomes = new ArrayList<>();
		for (int count = 0; count < 10; count++) {
			outcomes.add(group.propose(leader, "c" + count));
		}
		long before = group.log(leader).syncCount();
		group.member(leader).flush();
		Assert.assertEquals(group.log(leader).syncCount() - before, 1);
		outcomes.forEach((outcome) -> Assert.assertTrue(group.await(outcome) instanceof Accepted));
	}

	@Test
	public void memberFarBehindIsCaughtUpBySnapshot() {
		SimulatedGroup group = new SimulatedGroup(8, THREE);
		String leader = group.awaitLeader();
		String behind = follower(group, leader);
		group.isolate(behind);
		for (int count = 0; count < 200; count++) {
			group.await(group.propose(leader, "command " + count));
		}
		Assert.assertTrue(group.log(leader).firstIndex() > group.status(behind).lastIndex());
		group.setLossRate(0.1);
		group.heal(behind);
		group.checkOutcomes();
	}

	@Test
	public void fullDiskOfTheLeaderRefusesAsNotRunAndAnotherMemberLeads() {
		SimulatedGroup group = new SimulatedGroup(9, THREE);
		String full = group.awaitLeader();
		group.files(full).setFreeBytes(0);
		Assert.assertTrue(group.await(group.propose(full, "disk full")) instanceof NotRun);
		group.stepUntil("another leader", () -> group.leader().filter((leader) -> !leader.equals(full)).isPresent());
		String next = group.awaitLeader();
		Assert.assertTrue(group.await(group.propose(next, "disk of the new leader")) instanceof Accepted);
		group.files(full).setFreeBytes(Long.MAX_VALUE);
		group.checkOutcomes();
	}

	@DataProvider
	Object[][] fullDisks() {
		return LongStream.range(0, 12)
			.boxed()
			.flatMap((seed) -> Stream.of(new Object[] { seed, FIVE, 10, false }, new Object[] { seed, FIVE, 10, true },
					new Object[] { seed, THREE, 4, false }, new Object[] { seed, THREE, 4, true }))
			.toArray(Object[][]::new);
	}

	/**
	 * Guards against members that stay stopped after their disk had no room for a few
	 * seconds: if that happens to one after another, the group ends without a quorum
	 * while all processes run.
	 */
	@Test(dataProvider = "fullDisks")
	public void groupAcceptsChangesSoonAfterAllDisksWereFullInTurn(long seed, String[] voters, int changesEach,
			boolean foundAtSync) {
		SimulatedGroup group = new SimulatedGroup(seed, voters);
		group.awaitLeader();
		for (String id : voters) {
			group.files(id).setFreeBytes(foundAtSync ? Long.MAX_VALUE : group.random().nextInt(100));
			group.files(id).setFailingSync(foundAtSync);
			for (int change = 0; change < changesEach; change++) {
				String command = "while the disk of " + id + " is full " + change;
				group.leader().ifPresent((leader) -> group.propose(leader, command));
				group.run(200);
			}
			group.files(id).setFailingSync(false);
			group.files(id).setFreeBytes(Long.MAX_VALUE);
		}
		long endMillis = group.now() + ROOM_AGAIN_MILLIS;
		boolean accepted = false;
		for (int attempt = 0; !accepted && group.now() < endMillis; attempt++) {
			String command = "after all " + attempt;
			Optional<CompletableFuture<ProposalOutcome>> outcome = group.leader()
				.map((leader) -> group.propose(leader, command));
			group.run(100);
			accepted = outcome.map((future) -> future.getNow(null)).orElse(null) instanceof Accepted;
		}
		Assert.assertTrue(accepted, "no change was accepted within 2 s after the last disk had room");
		group.checkOutcomes();
		group.ids().forEach(group::restart);
		group.checkOutcomes();
	}

	@Test
	public void memberWithAFailedSyncNeitherVotesNorAcknowledgesUntilItsDiskWorks() {
		SimulatedGroup group = new SimulatedGroup(10, THREE);
		String leader = group.awaitLeader();
		String damaged = follower(group, leader);
		group.files(damaged).setFailingSync(true);
		Assert.assertTrue(group.await(group.propose(leader, "first")) instanceof Accepted);
		group.run(1_000);
		Assert.assertTrue(group.status(damaged).failure().isPresent());
		String other = group.ids().stream().filter((id) -> !id.equals(leader) && !id.equals(damaged)).findFirst().get();
		group.stop(other);
		CompletableFuture<ProposalOutcome> second = group.propose(leader, "second");
		group.run(5_000);
		Assert.assertTrue(second.join() instanceof Unknown, "only one member has a working disk");
		Assert.assertTrue(group.leader().isEmpty());
		group.files(damaged).setFailingSync(false);
		Assert.assertTrue(group.await(group.propose(group.awaitLeader(), "third")) instanceof Accepted);
		Assert.assertEquals(group.status(damaged).failure(), Optional.empty());
		group.checkOutcomes();
		group.restart(damaged);
		group.checkOutcomes();
	}

	@Test
	public void failedSyncOfTheLeaderLeavesTheOutcomeUnknown() {
		SimulatedGroup group = new SimulatedGroup(11, THREE);
		String leader = group.awaitLeader();
		group.files(leader).setFailingSync(true);
		Assert.assertTrue(group.await(group.propose(leader, "in doubt")) instanceof Unknown);
		Assert.assertNotEquals(group.awaitLeader(), leader);
		group.restart(leader);
		group.checkOutcomes();
	}

	@Test
	public void leadershipTransferLosesNoProposal() {
		SimulatedGroup group = new SimulatedGroup(12, THREE);
		String old = group.awaitLeader();
		CompletableFuture<ProposalOutcome> proposal = group.propose(old, "in flight");
		group.member(old).flush();
		group.member(old).transferLeadership();
		Assert.assertTrue(group.propose(old, "too late").join() instanceof NotRun);
		group.stepUntil("another leader", () -> group.leader().filter((id) -> !id.equals(old)).isPresent());
		Assert.assertTrue(group.await(proposal) instanceof Accepted);
		group.checkOutcomes();
	}

	@Test
	public void groupSurvivesASecondLossRightAfterARepair() {
		SimulatedGroup group = new SimulatedGroup(13, THREE);
		String leader = group.awaitLeader();
		String lost = follower(group, leader);
		group.stop(lost);
		group.startNonMember("d");
		Assert.assertTrue(group.await(group.member(leader).replace(lost, "d", "127.0.0.1:1")) instanceof Accepted);
		String second = group.ids().stream().filter((id) -> !List.of(lost, "d", leader).contains(id)).findFirst().get();
		group.stop(second);
		Assert.assertTrue(group.await(group.propose(group.awaitLeader(), "after two losses")) instanceof Accepted);
		group.checkOutcomes();
	}

	@Test(dataProvider = "seeds")
	public void replaceUnderPartitionsAndLeaderChangesEndsCleanly(long seed) {
		SimulatedGroup group = new SimulatedGroup(seed, THREE);
		group.startNonMember("d");
		for (int count = 0; count < 50; count++) {
			group.await(group.propose(group.awaitLeader(), "before " + count));
		}
		CompletableFuture<ProposalOutcome> change = group.member(group.awaitLeader()).replace("a", "d", "127.0.0.1:1");
		group.setLossRate(0.05);
		for (int round = 0; round < 10; round++) {
			String disturbed = List.of("a", "b", "c", "d").get(group.random().nextInt(4));
			group.isolate(disturbed);
			group.run(group.random().nextInt(1_500));
			group.heal(disturbed);
			group.run(group.random().nextInt(300));
		}
		group.setLossRate(0);
		group.stepUntil("the end of the change",
				() -> group.leader().isPresent() && group.status(group.awaitLeader()).members().change().isEmpty());
		MemberSet end = group.status(group.awaitLeader()).members();
		Assert.assertEquals(end.quorum().voters().size(), 3, end.toString());
		Assert.assertEquals(end.isVoter("d"), end.find("a").isEmpty(), end.toString());
		group.stepUntil("an outcome", change::isDone);
		if (change.join() instanceof Accepted) {
			Assert.assertTrue(end.isVoter("d"));
		}
		group.proposeUntilAccepted("after");
		group.checkOutcomes();
	}

	@Test
	public void removedLeaderStepsDownAndStartsNoElection() {
		SimulatedGroup group = new SimulatedGroup(14, THREE);
		group.startNonMember("d");
		String old = group.awaitLeader();
		Assert.assertTrue(group.await(group.member(old).replace(old, "d", "127.0.0.1:1")) instanceof Accepted);
		group.stepUntil("another leader", () -> group.leader().filter((id) -> !id.equals(old)).isPresent());
		String next = group.awaitLeader();
		long term = group.status(next).term();
		group.run(10_000);
		Assert.assertEquals(group.status(next).term(), term);
		Assert.assertEquals(group.status(old).role(), MemberRole.FOLLOWER);
		group.checkOutcomes();
	}

	@Test
	public void memberThatNeverCatchesUpIsRemoved() {
		SimulatedGroup group = new SimulatedGroup(15, THREE);
		group.startNonMember("d");
		group.isolate("d");
		String leader = group.awaitLeader();
		CompletableFuture<ProposalOutcome> change = group.member(leader).replace("a", "d", "127.0.0.1:1");
		Assert.assertTrue(
				group.member(leader).changeMembers(MemberChange.add("e", "127.0.0.1:1")).join() instanceof NotRun,
				"only one change is in flight");
		Assert.assertTrue(group.await(change) instanceof NotRun);
		Assert.assertEquals(group.status(leader).members().quorum().voters(), Set.of(THREE));
	}

	@Test
	public void removalThatWouldLeaveNoQuorumIsRefused() {
		SimulatedGroup group = new SimulatedGroup(16, THREE);
		String leader = group.awaitLeader();
		String lost = follower(group, leader);
		group.stop(lost);
		group.run(1_000);
		String alive = group.ids().stream().filter((id) -> !id.equals(lost) && !id.equals(leader)).findFirst().get();
		Assert
			.assertTrue(group.await(group.member(leader).changeMembers(MemberChange.remove(alive))) instanceof NotRun);
		Assert.assertThrows(IllegalArgumentException.class,
				() -> new MemberSet(List.of(Member.voter("a", ""), Member.learner("b", "")), 2, Optional.empty()));
	}

	private static void injectFault(SimulatedGroup group) {
		RandomGenerator random = group.random();
		List<String> ids = List.copyOf(group.ids());
		String id = ids.get(random.nextInt(ids.size()));
		switch (random.nextInt(10)) {
			case 0, 1 -> group.isolate(id);
			case 2 -> group.files(id).setFailingSync(true);
			case 3 -> group.files(id).setFreeBytes(random.nextInt(300));
			case 4, 5 -> group.restart(id);
			default -> ids.forEach((each) -> removeFaults(group, each));
		}
	}

	private static void removeFaults(SimulatedGroup group, String id) {
		group.heal(id);
		group.files(id).setFreeBytes(Long.MAX_VALUE);
		boolean inPlace = group.random().nextBoolean();
		if (inPlace) {
			group.files(id).setFailingSync(false);
		}
		else if (group.status(id).failure().isPresent()) {
			group.restart(id);
		}
	}

	private static String follower(SimulatedGroup group, String leader) {
		return group.ids().stream().filter((id) -> !id.equals(leader)).findFirst().orElseThrow();
	}

}
