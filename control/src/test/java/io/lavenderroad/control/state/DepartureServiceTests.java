package io.lavenderroad.control.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.model.departure.Departure;
import io.lavenderroad.model.departure.DepartureAnswer;
import io.lavenderroad.model.departure.DepartureRequest;
import io.vavr.control.Either;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a departure that is confirmed but not in the replicated log, against a
 * list that lacks one, and against departures that fill the memory of the members.
 */
public class DepartureServiceTests {

	private static final Departure FIRST = new Departure("i-1", 10, Departure.Kind.DRAINING);

	private static final Departure SECOND = new Departure("i-1", 10, Departure.Kind.DEREGISTERED);

	private static final String NODE = "node-1";

	private final List<DepartureRequest> forwarded = new ArrayList<>();

	private TestMesh mesh;

	private Optional<DepartureAnswer> answerOfTheLeader;

	private DepartureService service;

	@BeforeMethod
	void start() {
		this.mesh = new TestMesh();
		this.forwarded.clear();
		this.answerOfTheLeader = Optional.empty();
		this.service = new DepartureService(this.mesh.stateMachine, this::propose, this.mesh::confirm,
				() -> this.mesh.nowMillis, (request) -> {
					this.forwarded.add(request);
					return this.answerOfTheLeader;
				});
	}

	@Test
	public void leaderKeepsDeparturesOfEachVm() {
		Assert.assertEquals(keep(FIRST), DepartureAnswer.KEPT);
		Assert.assertEquals(keep(SECOND), DepartureAnswer.KEPT);
		Assert.assertEquals(read(), new DepartureAnswer(true, List.of(FIRST, SECOND)));
		Assert.assertEquals(this.service.answer(new DepartureRequest.Read("node-2", false)),
				new DepartureAnswer(true, List.of()));
		Assert.assertEquals(this.mesh.stateMachine.configuration().version(), 0, "no new version for the nodes");
	}

	@Test
	public void repeatedDepartureAddsNothingToTheLog() {
		keep(FIRST);
		Assert.assertEquals(keep(FIRST), DepartureAnswer.KEPT);
		Assert.assertEquals(this.mesh.log.size(), 1);
	}

	@Test
	public void unknownOutcomeIsNotConfirmedAndTheNextAttemptFindsTheDeparture() {
		this.mesh.losesAnswers = true;
		Assert.assertEquals(keep(FIRST), DepartureAnswer.UNCONFIRMED);
		Assert.assertEquals(this.forwarded, List.of());
		Assert.assertEquals(keep(FIRST), DepartureAnswer.KEPT);
		Assert.assertEquals(this.mesh.log.size(), 1);
	}

	@Test
	public void otherMembersAskTheLeaderOnce() {
		this.mesh.leads = false;
		this.answerOfTheLeader = Optional.of(new DepartureAnswer(true, List.of(FIRST)));
		Assert.assertEquals(read().departures(), List.of(FIRST));
		Assert.assertTrue(keep(SECOND).confirmed());
		Assert.assertEquals(this.forwarded,
				List.of(new DepartureRequest.Read(NODE, true), new DepartureRequest.Keep(NODE, SECOND, true)));
		Assert.assertEquals(this.service.answer(new DepartureRequest.Read(NODE, true)), DepartureAnswer.UNCONFIRMED);
		Assert.assertEquals(this.service.answer(new DepartureRequest.Keep(NODE, SECOND, true)),
				DepartureAnswer.UNCONFIRMED);
		Assert.assertEquals(this.forwarded.size(), 2, "a request goes from member to member once");
	}

	@Test
	public void nothingIsConfirmedWithoutALeader() {
		keep(FIRST);
		this.mesh.leads = false;
		Assert.assertEquals(read(), DepartureAnswer.UNCONFIRMED, "this member may lack later ones");
		Assert.assertEquals(keep(SECOND), DepartureAnswer.UNCONFIRMED);
		Assert.assertEquals(keep(FIRST), DepartureAnswer.KEPT, "committed before");
	}

	@Test
	public void departuresAreRestoredFromASnapshot() {
		keep(FIRST);
		keep(SECOND);
		MeshStateMachine restored = new MeshStateMachine();
		restored.restore(this.mesh.stateMachine.snapshot());
		Assert.assertEquals(restored.departures(NODE), List.of(FIRST, SECOND));
		Assert.assertEquals(restored.snapshot(), this.mesh.stateMachine.snapshot());
	}

	@Test
	public void departuresOfAVmAreLimited() {
		for (int index = 0; index < 3 * KeptDepartures.MAXIMUM_PER_VM; index++) {
			keep(new Departure("i-" + index, index, Departure.Kind.DEREGISTERED));
		}
		keep(FIRST);
		List<Departure> kept = read().departures();
		Assert.assertEquals(kept.size(), KeptDepartures.MAXIMUM_PER_VM);
		Assert.assertEquals(kept.getLast(), FIRST);
	}

	@Test
	public void vmsWithTheOldestDeparturesAreDropped() {
		keep(FIRST);
		for (int vm = 0; vm < KeptDepartures.MAXIMUM_VMS; vm++) {
			this.service.answer(new DepartureRequest.Keep("other-" + vm, FIRST, false));
		}
		Assert.assertEquals(this.mesh.stateMachine.vmsWithDepartures(), KeptDepartures.MAXIMUM_VMS);
		Assert.assertEquals(read().departures(), List.of());
	}

	private DepartureAnswer keep(Departure departure) {
		return this.service.answer(new DepartureRequest.Keep(NODE, departure, false));
	}

	private DepartureAnswer read() {
		return this.service.answer(new DepartureRequest.Read(NODE, false));
	}

	private Either<CommandFailure, byte[]> propose(byte[] command) {
		return this.mesh.leads ? this.mesh.propose(command)
				: Either.left(new CommandFailure(ExecutionVerdict.NOT_RUN, "not the leader", Optional.empty()));
	}

}
