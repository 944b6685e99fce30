package io.lavenderroad.control.state;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.core.LavenderroadException;
import io.lavenderroad.model.ChangeOutcome;
import io.lavenderroad.model.MoveState;
import io.lavenderroad.model.MoveStatus;
import io.lavenderroad.model.rendering.MeshRenderer;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against a resent change that takes effect twice, conflicting changes that are
 * both accepted, stale decisions about moves, a withdrawn version that is tried again,
 * and snapshots that lose state.
 */
public class MeshStateMachineTests {

	private static final String STABLE = "  desk: { current: v1 }\n";

	private static final String MOVING = "  desk: { current: v1, move: { to: v2 } }\n";

	@Test
	public void resendAfterALostAnswerTakesEffectOnce() {
		TestMesh mesh = new TestMesh();
		mesh.losesAnswers = true;
		ChangeRefusal lostAnswer = mesh.apply("change-1", 0, STABLE).getLeft();
		Assert.assertEquals(lostAnswer.verdict(), ExecutionVerdict.MAY_HAVE_RUN);
		Assert.assertEquals(mesh.apply("change-1", 0, STABLE).get(), new ChangeOutcome("change-1", true, 1, ""));
		byte[] repeated = mesh.stateMachine.apply(100, mesh.log.getFirst());
		Assert.assertTrue(CommandBinding.outcomeFromBytes(repeated).applied());
		Assert.assertTrue(mesh.stateMachine.outcome("change-1").orElseThrow().accepted());
		Assert.assertEquals(mesh.stateMachine.configuration().version(), 1);
		Assert.assertEquals(mesh.stateMachine.history(10).size(), 1);
	}

	@Test
	public void resendAfterOtherChangesGetsTheFirstOutcome() {
		TestMesh mesh = new TestMesh();
		mesh.accept("change-1", STABLE);
		mesh.accept("change-2", "  desk: { current: v1, queue: 11 }\n");
		Assert.assertEquals(mesh.apply("change-1", 0, STABLE).get(), new ChangeOutcome("change-1", true, 1, ""));
		Assert.assertEquals(mesh.stateMachine.configuration().version(), 2);
	}

	@Test
	public void changeIdOfAnotherChangeIsRefused() {
		TestMesh mesh = new TestMesh();
		mesh.accept("change-1", STABLE);
		ChangeOutcome outcome = mesh.apply("change-1", 1, MOVING).get();
		Assert.assertFalse(outcome.accepted());
		Assert.assertTrue(outcome.reason().contains("other content"), outcome.reason());
	}

	@Test
	public void oneOfTwoChangesWithEqualBaseVersionsIsAccepted() {
		TestMesh mesh = new TestMesh();
		mesh.accept("change-1", STABLE);
		mesh.accept("change-2", "  desk: { current: v1, queue: 11 }\n");
		ChangeOutcome conflicting = mesh.apply("change-3", 1, "  desk: { current: v1, queue: 12 }\n").get();
		Assert.assertEquals(conflicting, new ChangeOutcome("change-3", false, 2,
				"conflict: change change-2 of thandi made version 2 after base version 1"));
		Assert.assertEquals(mesh.apply("change-3", 1, "  desk: { current: v1, queue: 12 }\n").get(), conflicting);
	}

	@Test
	public void oneOfTwoChangesRenderedAtTheSameTimeIsAccepted() {
		TestMesh mesh = new TestMesh();
		mesh.accept("change-1", STABLE);
		mesh.beforeCommit = () -> mesh.apply("change-2", 1, "  desk: { current: v1, queue: 11 }\n");
		ChangeOutcome conflicting = mesh.apply("change-3", 1, "  desk: { current: v1, queue: 12 }\n").get();
		Assert.assertFalse(conflicting.accepted());
		Assert.assertTrue(conflicting.reason().contains("change-2"), conflicting.reason());
		Assert.assertEquals(mesh.stateMachine.configuration().service("desk").orElseThrow().limits().queueLength(), 11);
	}

	@Test
	public void moveThatEndsBeforeTheCommitIsNotReverted() {
		TestMesh mesh = new TestMesh();
		mesh.accept("change-1", MOVING);
		mesh.moves.step(mesh.move(), 10_000, true, "last step");
		mesh.beforeCommit = () -> mesh.moves.finish(mesh.move(), "watched", "");
		ChangeOutcome outcome = mesh.apply("change-2", 2, STABLE).get();
		Assert.assertFalse(outcome.accepted());
		Assert.assertTrue(outcome.reason().contains("traffic is on v2"), outcome.reason());
		Assert.assertEquals(mesh.split(), Map.of("v2", 10_000));
	}

	@Test
	public void outcomesAreKeptWithinTheirAgeOrNumber() {
		MeshState state = new MeshState();
		CommandOutcome accepted = new CommandOutcome(CommandOutcome.Kind.APPLIED, 1, "");
		for (int index = 0; index <= MeshState.MINIMUM_OUTCOMES; index++) {
			state.storeOutcome("change-" + index, new StoredOutcome(accepted, "", state.latestCommandMillis));
		}
		Assert.assertTrue(state.outcomes.containsKey("change-0"));
		state.latestCommandMillis += MeshState.MINIMUM_OUTCOME_AGE_MILLIS + 1;
		state.storeOutcome("late", new StoredOutcome(accepted, "", state.latestCommandMillis));
		Assert.assertEquals(state.outcomes.size(), MeshState.MINIMUM_OUTCOMES);
		Assert.assertFalse(state.outcomes.containsKey("change-1"));
		Assert.assertTrue(state.outcomes.containsKey("change-2"));
	}

	@Test
	public void changeThatDoesNotFitIntoAFrameIsRefused() {
		TestMesh mesh = new TestMesh();
		String comment = "# " + "x".repeat(MeshRenderer.MAXIMUM_DOCUMENT_BYTES) + "\n";
		ChangeRefusal refusal = mesh.apply("change-1", 0, STABLE + comment).getLeft();
		Assert.assertEquals(refusal.verdict(), ExecutionVerdict.NOT_RUN);
		Assert.assertEquals(refusal.problems().size(), 1);
		Assert.assertEquals(mesh.log.size(), 0);
	}

	@Test
	public void stepOfAMoveIsNoConflictForAChange() {
		TestMesh mesh = new TestMesh();
		long base = mesh.accept("change-1", MOVING);
		mesh.moves.step(mesh.move(), 500, false, "first step");
		ChangeOutcome outcome = mesh.apply("change-2", base, "  desk: { current: v1, queue: 30, move: { to: v2 } }\n")
			.get();
		Assert.assertEquals(outcome, new ChangeOutcome("change-2", true, 3, ""));
		Assert.assertEquals(mesh.split(), Map.of("v1", 9_500, "v2", 500));
	}

	@Test
	public void staleAndRepeatedStepsDoNothing() {
		TestMesh mesh = new TestMesh();
		mesh.accept("change-1", MOVING);
		Assert.assertEquals(mesh.split(), Map.of("v1", 10_000));
		MoveState started = mesh.move();
		Assert.assertTrue(mesh.moves.step(started, 500, false, "first step").get().applied());
		Assert.assertEquals(mesh.moves.step(started, 500, false, "first step").get().kind(), CommandOutcome.Kind.STALE);
		Assert.assertEquals(mesh.moves.step(started, 2_000, false, "late").get().kind(), CommandOutcome.Kind.STALE);
		Assert.assertEquals(mesh.moves.finish(mesh.move(), "early", "").get().kind(), CommandOutcome.Kind.REFUSED);
		Assert.assertEquals(mesh.split(), Map.of("v1", 9_500, "v2", 500));
		Assert.assertEquals(mesh.stateMachine.configuration().version(), 2);
	}

	@Test
	public void withdrawnVersionIsTriedAgainOnlyOnRequest() {
		TestMesh mesh = new TestMesh();
		mesh.accept("change-1", MOVING);
		mesh.moves.step(mesh.move(), 500, false, "first step");
		mesh.moves.withdraw(mesh.move(), "errors", "orders", "12/300 against 1/900");
		Assert.assertEquals(mesh.move().status(), MoveStatus.TAKEN_BACK);
		Assert.assertFalse(mesh.moves.step(mesh.move(), 1_000, false, "late").get().applied());
		mesh.accept("change-2", "  desk: { current: v1, queue: 11, move: { to: v2, deadline: 2h } }\n");
		Assert.assertEquals(mesh.split(), Map.of("v1", 10_000));
		Assert.assertEquals(mesh.stateMachine.activeMoves().size(), 0);
		mesh.accept("change-3", "  desk: { current: v1, move: { to: v2, attempt: 2 } }\n");
		Assert.assertEquals(mesh.stateMachine.activeMoves().size(), 1);
	}

	@Test
	public void removingTheMoveWithdrawsTheNewVersion() {
		TestMesh mesh = new TestMesh();
		mesh.accept("change-1", MOVING);
		mesh.moves.step(mesh.move(), 500, false, "first step");
		mesh.accept("change-2", STABLE);
		Assert.assertEquals(mesh.split(), Map.of("v1", 10_000));
		Assert.assertEquals(mesh.move().status(), MoveStatus.TAKEN_BACK);
		Assert.assertEquals(mesh.move().reason(), "aborted by change change-2");
	}

	@Test
	public void finishedMoveIsNotRevertedByLaterDocuments() {
		TestMesh mesh = new TestMesh();
		mesh.accept("change-1", MOVING);
		mesh.moves.step(mesh.move(), 10_000, true, "last step");
		mesh.moves.finish(mesh.move(), "watched", "");
		mesh.accept("change-2", "  desk: { current: v1, queue: 11, move: { to: v2 } }\n");
		Assert.assertEquals(mesh.split(), Map.of("v2", 10_000));
		ChangeRefusal switchWithoutMove = mesh.apply("change-3", 4, STABLE).getLeft();
		Assert.assertEquals(switchWithoutMove.problems().getFirst().location().line(), 5);
		mesh.accept("change-4", "  desk: { current: v2 }\n");
		Assert.assertEquals(mesh.split(), Map.of("v2", 10_000));
	}

	@Test
	public void newVersionGetsAllTrafficWithoutAMoveOnlyOnRequest() {
		TestMesh mesh = new TestMesh();
		mesh.accept("change-1", STABLE);
		Assert.assertTrue(mesh.apply("change-2", 1, "  desk: { current: v9 }\n").isLeft());
		Assert.assertEquals(mesh.split(), Map.of("v1", 10_000));
		mesh.accept("change-3", "  desk: { current: v9, at-once: v9 }\n");
		Assert.assertEquals(mesh.split(), Map.of("v9", 10_000));
	}

	@Test
	public void unrelatedChangeKeepsTheDeadlineOfAMove() {
		TestMesh mesh = new TestMesh();
		mesh.accept("change-1", MOVING);
		long deadline = mesh.move().parameters().deadlineMillis();
		mesh.nowMillis += 60_000;
		mesh.accept("change-2", "  desk: { current: v1, queue: 11, move: { to: v2 } }\n");
		Assert.assertEquals(mesh.move().parameters().deadlineMillis(), deadline);
		mesh.accept("change-3", "  desk: { current: v1, queue: 11, move: { to: v2, deadline: 5m } }\n");
		Assert.assertEquals(mesh.move().parameters().deadlineMillis(), mesh.nowMillis + 300_000);
	}

	@Test
	public void snapshotKeepsOutcomesMovesAndHistory() {
		TestMesh mesh = new TestMesh();
		randomCommands(mesh, new Random(20261204), 300);
		MeshStateMachine replayed = new MeshStateMachine();
		MeshStateMachine restored = new MeshStateMachine();
		int half = mesh.log.size() / 2;
		for (int index = 0; index < mesh.log.size(); index++) {
			if (index == half) {
				restored.restore(replayed.snapshot());
			}
			byte[] outcome = replayed.apply(index + 1, mesh.log.get(index));
			if (index >= half) {
				Assert.assertEquals(restored.apply(index + 1, mesh.log.get(index)), outcome);
			}
		}
		Assert.assertEquals(replayed.snapshot(), mesh.stateMachine.snapshot());
		Assert.assertEquals(restored.snapshot(), mesh.stateMachine.snapshot());
		Assert.assertEquals(restored.outcome("change-0"), mesh.stateMachine.outcome("change-0"));
		Assert.assertNotEquals(restored.outcome("change-0"), Optional.empty());
	}

	@Test
	public void malformedInputDoesNotChangeTheState() {
		TestMesh mesh = new TestMesh();
		Random random = new Random(20261204);
		randomCommands(mesh, random, 40);
		byte[] snapshot = mesh.stateMachine.snapshot();
		long version = mesh.stateMachine.configuration().version();
		for (int round = 0; round < 2_000; round++) {
			byte[] cut = Arrays.copyOf(snapshot, random.nextInt(snapshot.length));
			Assert.assertThrows(LavenderroadException.class, () -> mesh.stateMachine.restore(cut));
			byte[] noise = new byte[random.nextInt(60)];
			random.nextBytes(noise);
			mesh.propose(noise);
		}
		Assert.assertEquals(mesh.stateMachine.configuration().version(), version);
	}

	@Test
	public void mutatedCommandsLeadToEqualStates() {
		TestMesh mesh = new TestMesh();
		Random random = new Random(20261204);
		randomCommands(mesh, random, 60);
		MeshStateMachine first = new MeshStateMachine();
		MeshStateMachine second = new MeshStateMachine();
		long index = 0;
		for (int round = 0; round < 3_000; round++) {
			byte[] command = mesh.log.get(round % mesh.log.size()).clone();
			for (int edit = random.nextInt(3); edit > 0; edit--) {
				command[random.nextInt(command.length)] = (byte) random.nextInt(256);
			}
			index++;
			Assert.assertEquals(first.apply(index, command), second.apply(index, command));
			Assert.assertEquals(first.configuration().missingResources().size(), 0);
		}
		Assert.assertEquals(first.snapshot(), second.snapshot());
	}

	private static void randomCommands(TestMesh mesh, Random random, int count) {
		String[] services = { STABLE, MOVING, "  desk: { current: v2 }\n",
				"  desk: { current: v2, move: { to: v1, deadline: 10m } }\n",
				"  desk: { current: v1, queue: 12, move: { to: v2, attempt: 2 } }\n" };
		for (int index = 0; index < count; index++) {
			mesh.nowMillis += random.nextInt(100_000);
			long base = Math.max(0, mesh.stateMachine.configuration().version() - random.nextInt(2));
			mesh.apply("change-" + index, base, services[random.nextInt(services.length)]);
			for (MoveState move : mesh.stateMachine.activeMoves()) {
				switch (random.nextInt(5)) {
					case 0 -> mesh.moves.withdraw(move, "errors", "orders", "figures");
					case 1 -> mesh.moves.warn(move, "warning " + index);
					case 2 -> mesh.moves.finish(move, "watched", "");
					default -> mesh.moves.step(move, random.nextInt(3) * 5_000, random.nextBoolean(), "step");
				}
			}
		}
	}

}
