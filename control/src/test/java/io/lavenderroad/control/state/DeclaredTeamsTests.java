package io.lavenderroad.control.state;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.lavenderroad.model.CallerLimits;
import io.lavenderroad.model.ColdStart;
import io.lavenderroad.model.Quota;
import io.lavenderroad.model.ServiceConfiguration;
import io.lavenderroad.model.TeamSet;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a withdrawn key that works again, an invalid team or cold start that
 * becomes active, a key in a message, and a changed cold start that resets a service.
 */
public class DeclaredTeamsTests {

	private static final DeclaredTeam SHOP = new DeclaredTeam("shop", List.of("key-1", "key-2"), 1, 20.5, 4);

	private TestMesh mesh;

	private long declaredVersion;

	@BeforeMethod
	public void start() {
		this.mesh = new TestMesh();
		this.declaredVersion = 0;
	}

	@Test
	public void withdrawnKeyAndEvacuationHoldAfterARestore() {
		declare(DeclaredColdStart.NONE, SHOP, new DeclaredTeam("desk", List.of("key-3"), 0, 0, 0));
		Assert.assertEquals(teams().find("shop").orElseThrow().quota().orElseThrow(), new Quota(20.5, 4));
		Assert.assertTrue(teams().find("desk").orElseThrow().quota().isEmpty());
		this.mesh.evacuations.begin("north");
		declare(DeclaredColdStart.NONE, new DeclaredTeam("shop", List.of("key-2"), 1, 20.5, 4));
		MeshStateMachine restored = new MeshStateMachine();
		restored.restore(this.mesh.stateMachine.snapshot());
		for (MeshStateMachine member : List.of(this.mesh.stateMachine, restored)) {
			TeamSet teams = member.configuration().teams();
			Assert.assertTrue(teams.findByKey("key-1").isEmpty() && teams.findByKey("key-3").isEmpty());
			Assert.assertEquals(teams.findByKey("key-2").orElseThrow().name(), "shop");
			Assert.assertTrue(member.configuration().evacuations().contains("north"),
					"a declaration does not end an evacuation");
		}
		Assert.assertEquals(restored.configuration().digest(), this.mesh.stateMachine.configuration().digest());
	}

	@Test
	public void changedColdStartKeepsVersionsAndTheMove() {
		declare(DeclaredColdStart.NONE);
		MoveOrders moves = new MoveOrders(this.mesh.stateMachine, this.mesh::propose, this.mesh::confirm,
				() -> this.mesh.nowMillis);
		moves.recordInitialVersion("catalogue", "v1");
		moves.begin("catalogue", "v2", 15_000);
		// A step of the move is committed between the computation of the edit and its
		// application.
		this.mesh.beforeCommit = () -> this.mesh.moves.step(this.mesh.move(), 2_500, false, "ramp");
		declare(new DeclaredColdStart(12.5, 13.3));
		ServiceConfiguration service = this.mesh.stateMachine.configuration().service("catalogue").orElseThrow();
		Assert.assertEquals(service.coldStart(), new ColdStart(12_500, 13.3));
		Assert.assertEquals(service.split(), Map.of("v1", 7_500, "v2", 2_500));
		Assert.assertTrue(service.move().isPresent());
		long modified = service.modifiedVersion();
		declare(new DeclaredColdStart(12.5, 13.3));
		Assert.assertEquals(this.mesh.stateMachine.configuration().service("catalogue").orElseThrow().modifiedVersion(),
				modified, "an unchanged service is not sent again");
	}

	@Test
	public void invalidValuesAreNamedWithTheirPlaceAndWithoutKeys() {
		assertProblem("teams.b.key[1]", "team shop", SHOP, new DeclaredTeam("b", List.of("x", "key-2"), 0, 0, 0));
		assertProblem("teams.b.key[0]", "empty key", new DeclaredTeam("b", List.of(""), 0, 0, 0));
		assertProblem("teams", "without a name", new DeclaredTeam("", List.of("x"), 0, 0, 0));
		assertProblem("teams.b", "-1.5 requests per second", new DeclaredTeam("b", List.of("x"), 0, -1.5, 0));
		assertProblem("teams.b", "NaN requests", new DeclaredTeam("b", List.of("x"), 0, Double.NaN, 0));
		assertProblem("teams.b", "burst of -1.0", new DeclaredTeam("b", List.of("x"), 0, 5, -1));
		assertProblem("teams.b", "Infinity", new DeclaredTeam("b", List.of("x"), 0, 5, Double.POSITIVE_INFINITY));
		assertProblem("teams.b", "priority -1", new DeclaredTeam("b", List.of("x"), -1, 5, 1));
		for (DeclaredColdStart coldStart : List.of(new DeclaredColdStart(-0.1, 1), new DeclaredColdStart(1, -0.1))) {
			String problem = problems(coldStart).getFirst();
			Assert.assertTrue(problem.contains("services.catalogue") && problem.contains("-0.1"), problem);
		}
		Assert.assertEquals(problems(DeclaredColdStart.NONE, new DeclaredTeam("b", List.of("x", "x"), 0, 0, 5)),
				List.of());
	}

	private void assertProblem(String place, String value, DeclaredTeam... teams) {
		List<String> problems = problems(DeclaredColdStart.NONE, teams);
		Assert.assertEquals(problems.size(), 1, problems.toString());
		Assert.assertTrue(problems.getFirst().contains(place) && problems.getFirst().contains(value),
				problems.getFirst());
		Assert.assertFalse(problems.getFirst().contains("key-2"), problems.getFirst());
	}

	private List<String> problems(DeclaredColdStart coldStart, DeclaredTeam... teams) {
		List<String> problems = new ArrayList<>();
		DeclarationValidator.problems(declaration(1, 0, coldStart, teams))
			.forEach((problem) -> problems.add(problem.toString()));
		return problems;
	}

	private void declare(DeclaredColdStart coldStart, DeclaredTeam... teams) {
		DeclarationService service = new DeclarationService(this.mesh.stateMachine, this.mesh::propose,
				this.mesh::confirm, () -> this.mesh.nowMillis, Acknowledgement.IMMEDIATE);
		long base = this.declaredVersion++;
		Assert.assertTrue(service.replace(declaration(base + 1, base, coldStart, teams)).get().applied());
	}

	private static DeclaredConfiguration declaration(long version, long base, DeclaredColdStart coldStart,
			DeclaredTeam... teams) {
		return new DeclaredConfiguration(version, base, "digest " + version, List.of(),
				new TreeMap<>(Map.of("catalogue", coldStart)), CallerLimits.DEFAULT, Arrays.asList(teams),
				new TreeMap<>());
	}

	private TeamSet teams() {
		return this.mesh.stateMachine.configuration().teams();
	}

}
