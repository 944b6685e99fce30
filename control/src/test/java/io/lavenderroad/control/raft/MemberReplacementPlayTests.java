package io.lavenderroad.control.raft;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a control group that never answers again after two disks are lost soon
 * after a VM was replaced, because the replaced voter still counts in quorums. A replaced
 * VM stops counting as lost once its successor has run for {@code CATCH_UP_MILLIS}; from
 * then on the group tolerates the loss of two others.
 */
public class MemberReplacementPlayTests {

	private static final long CATCH_UP_MILLIS = 4_000;

	private static final long DARK_MILLIS = 1_500;

	private static final long RECOVERY_MILLIS = 15_000;

	private static final String SUCCESSOR = "s";

	@DataProvider
	Object[][] plays() {
		List<Object[]> plays = new ArrayList<>();
		for (Manner manner : Manner.values()) {
			for (boolean leader : new boolean[] { false, true }) {
				for (int[] lost : new int[][] { { 0, 1 }, { 0, 4 }, { 1, 2 }, { 2, 4 } }) {
					for (long seed = 1; seed <= 3; seed++) {
						plays.add(new Object[] { manner, leader, lost, seed });
					}
				}
			}
		}
		return plays.toArray(Object[][]::new);
	}

	@Test(dataProvider = "plays")
	public void groupToleratesTwoLostDisksOnceASuccessorHasCaughtUp(Manner manner, boolean leader, int[] lost,
			long seed) {
		SimulatedMachines machines = new SimulatedMachines(seed);
		SimulatedGroup group = machines.group();
		group.proposeUntilAccepted("before");
		String replaced = leader ? group.awaitLeader() : follower(group);
		manner.replace(machines, replaced);
		group.proposeUntilAccepted("after the replacement");
		List<String> remaining = new ArrayList<>(List.of("a", "b", "c", "d", "e", SUCCESSOR));
		remaining.remove(replaced);
		for (int index : lost) {
			machines.loseDisk(remaining.get(index), DARK_MILLIS);
		}
		machines.run(DARK_MILLIS + RECOVERY_MILLIS);
		String description = manner + ", leader " + leader + ", lost " + Arrays.toString(lost) + ", seed " + seed;
		Assert.assertTrue(group.leader().isPresent(), "no leader: " + description);
		group.proposeUntilAccepted("after the losses");
		Assert.assertEquals(group.status(group.awaitLeader()).members().quorum().voters().size(),
				SimulatedMachines.TARGET_VOTERS, description);
		group.checkOutcomes();
	}

	@Test
	public void voterOfAGroupWithoutSurplusStaysWhileItsProcessRestarts() {
		SimulatedMachines machines = new SimulatedMachines(1);
		SimulatedGroup group = machines.group();
		String stopped = follower(group);
		machines.terminate(stopped);
		machines.run(500);
		Assert.assertFalse(group.isRunning(stopped));
		Assert.assertTrue(group.status(group.awaitLeader()).members().isVoter(stopped));
	}

	@Test
	public void twoVmsThatAreReplacedAtTheSameTimeBothLeave() {
		SimulatedMachines machines = new SimulatedMachines(2);
		SimulatedGroup group = machines.group();
		group.awaitLeader();
		machines.start("s", "s:1", 0);
		machines.start("t", "t:1", 0);
		machines.run(CATCH_UP_MILLIS);
		machines.terminate("a");
		machines.terminate("b");
		machines.run(2_000);
		Assert.assertEquals(group.status(group.awaitLeader()).members().quorum().voters(),
				List.of("c", "d", "e", "s", "t"));
	}

	private static String follower(SimulatedGroup group) {
		String leader = group.awaitLeader();
		return group.ids().stream().filter((id) -> !id.equals(leader)).findFirst().orElseThrow();
	}

	/**
	 * How a VM is replaced.
	 */
	enum Manner {

		/**
		 * The successor runs before the old process is asked to end.
		 */
		PLANNED {

			@Override
			void replace(SimulatedMachines machines, String replaced) {
				machines.start(SUCCESSOR, SUCCESSOR + ":1", 0);
				machines.run(CATCH_UP_MILLIS + 100);
				machines.terminate(replaced);
				machines.run(500);
			}

		},

		/**
		 * The old process is killed, and the successor starts a second later.
		 */
		KILLED {

			@Override
			void replace(SimulatedMachines machines, String replaced) {
				machines.kill(replaced);
				machines.start(SUCCESSOR, SUCCESSOR + ":1", 1_000);
				machines.run(1_000 + CATCH_UP_MILLIS);
			}

		},

		/**
		 * The old process is killed at the moment at which its successor starts.
		 */
		KILLED_AT_THE_START_OF_THE_SUCCESSOR {

			@Override
			void replace(SimulatedMachines machines, String replaced) {
				machines.kill(replaced);
				machines.start(SUCCESSOR, SUCCESSOR + ":1", 0);
				machines.run(CATCH_UP_MILLIS);
			}

		};

		abstract void replace(SimulatedMachines machines, String replaced);

	}

}
