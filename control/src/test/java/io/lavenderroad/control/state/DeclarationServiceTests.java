package io.lavenderroad.control.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import io.lavenderroad.control.state.CommandOutcome.Kind;
import io.lavenderroad.control.state.DeclarationService.CurrentDeclaration;
import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.core.Problem;
import io.lavenderroad.model.CallRules;
import io.lavenderroad.model.CallerLimits;
import io.lavenderroad.model.ColdStart;
import io.lavenderroad.model.ConfigurationEdit;
import io.lavenderroad.model.HostRoute;
import io.lavenderroad.model.MoveState;
import io.lavenderroad.model.MoveStatus;
import io.lavenderroad.model.ServiceConfiguration;
import io.lavenderroad.model.TeamSet;
import io.vavr.control.Either;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against two concurrent declarations that are both accepted, an accepted
 * declaration that is refused when it is resent, an invalid configuration that becomes
 * active, stale reads, moves that begin twice, withdrawn keys that work again, keys in
 * messages, and a changed cold start that resets a service.
 */
public class DeclarationServiceTests {

	private static final DeclaredTeam SHOP = new DeclaredTeam("shop", List.of("key-1", "key-2"), 1, 20.5, 4);

	private long nowMillis = 1_000;

	private long index;

	private MeshStateMachine mesh;

	private boolean leads;

	private final CommandLog log = (command) -> Either.right(this.mesh.apply(++this.index, command));

	private final ReadConfirmation confirmation = () -> this.leads ? Either.right(this.index) : Either
		.left(new CommandFailure(ExecutionVerdict.NOT_RUN, "this member does not lead", Optional.of("10.0.0.1:80")));

	private DeclarationService service;

	@BeforeMethod
	void start() {
		this.nowMillis = 1_000;
		this.index = 0;
		this.leads = true;
		this.mesh = new MeshStateMachine();
		this.service = new DeclarationService(this.mesh, this.log, this.confirmation, () -> this.nowMillis,
				Acknowledgement.IMMEDIATE);
	}

	@Test
	public void oneOfTwoConflictingDeclarationsIsAcceptedAndCanBeResent() {
		DeclaredConfiguration first = declared(2, 0, "first", route("a", "/a/", "catalogue"));
		DeclaredConfiguration conflicting = declared(2, 0, "rival", route("a", "/b/", "catalogue"));
		Assert.assertTrue(this.service.replace(first).get().applied());
		Assert.assertEquals(this.service.replace(conflicting).get().kind(), Kind.REFUSED);
		Assert.assertTrue(this.service.replace(first).get().applied());
		Assert.assertTrue(this.service.replace(declared(5, 2, "next", route("a", "/a/", "catalogue"))).get().applied());
		Assert.assertTrue(this.service.replace(first).get().applied(), "accepted before, so acknowledged again");
		Assert.assertEquals(this.service.read().get().declaredVersion(), 5);
	}

	@Test
	public void acceptedConfigurationIsNotAcknowledgedBeforeItIsActive() {
		List<Long> awaited = new ArrayList<>();
		Acknowledgement acknowledgement = new Acknowledgement((version, timeoutMillis) -> {
			Assert.assertEquals(this.mesh.configuration().version(), version,
					"accepted before the wait, so that nodes can receive it");
			Assert.assertTrue(timeoutMillis < 1_000, "an operator abandons the request after a second");
			awaited.add(version);
			return false;
		}, () -> this.nowMillis);
		DeclarationService waitingService = new DeclarationService(this.mesh, this.log, this.confirmation,
				() -> this.nowMillis, acknowledgement);
		DeclaredConfiguration first = declared(2, 0, "first", route("a", "/a/", "catalogue"));
		Assert.assertTrue(waitingService.replace(first).get().applied(), "a lagging node must not block changes");
		Assert.assertEquals(awaited, List.of(1L));
		waitingService.replace(declared(2, 0, "rival", route("a", "/b/", "catalogue")));
		Assert.assertEquals(awaited, List.of(1L), "a refused declaration has no version to wait for");
		waitingService.replace(first);
		Assert.assertEquals(awaited, List.of(1L, 1L), "the acknowledgement of a resend waits as well");
	}

	@Test
	public void stateMachineRefusesADeclarationWithAnOutdatedBase() {
		// Both declarations passed the check at their leader before either command was
		// applied.
		CommandLog racingLog = (command) -> {
			byte[] conflicting = CommandBinding.toBytes(new Command.ReplaceConfiguration(1, 3, 0, "rival",
					ConfigurationEdit.ofServices(List.of(), List.of()), new TreeMap<>(), List.of()));
			this.mesh.apply(++this.index, conflicting);
			return Either.right(this.mesh.apply(++this.index, command));
		};
		DeclarationService late = new DeclarationService(this.mesh, racingLog, this.confirmation, () -> this.nowMillis,
				Acknowledgement.IMMEDIATE);
		CommandOutcome outcome = late.replace(declared(4, 0, "late", route("a", "/a/", "catalogue"))).get();
		Assert.assertEquals(outcome.kind(), Kind.REFUSED);
		Assert.assertEquals(this.service.read().get().declaredVersion(), 3);
		Assert.assertTrue(this.mesh.configuration().routes().all().isEmpty());
	}

	@Test
	public void invalidConfigurationNeverBecomesActive() {
		List<DeclaredConfiguration> invalid = List.of(declared(1, 0, "1", route("a", "/a/", "nobody")),
				declared(1, 0, "2", route("a", "/a/", "catalogue"), route("b", "/a/", "catalogue")),
				declared(1, 0, "3", weighted("a", Map.of("catalogue", 0))),
				declared(1, 0, "4", weighted("a", Map.of("catalogue", 2, "counter", -1))),
				declared(1, 0, "5", route("a", "a/", "catalogue")),
				declared(0, 0, "6", route("a", "/a/", "catalogue")));
		for (DeclaredConfiguration declared : invalid) {
			Either<ChangeRefusal, CommandOutcome> outcome = this.service.replace(declared);
			Assert.assertTrue(outcome.isLeft() && !outcome.getLeft().problems().isEmpty(), declared.digest());
		}
		Assert.assertEquals(this.mesh.configuration().version(), 0);
	}

	@Test
	public void partsAreReadBackAsSentAndSurviveASnapshot() {
		this.service.replace(declared(1, 0, "1", route("a", "/a/", "catalogue"), route("b", "/b/", "counter")));
		this.service.replace(declared(4, 1, "2", route("b", "/c/", "counter")));
		MeshStateMachine restored = new MeshStateMachine();
		restored.restore(this.mesh.snapshot());
		CurrentDeclaration base = restored.currentDeclaration();
		Assert.assertEquals(base.declaredVersion(), 4);
		Assert.assertEquals(base.parts(), Map.of("routes/b", "/c/"));
		Assert.assertEquals(base.configuration().digest(), this.mesh.configuration().digest());
		Assert.assertTrue(restored.wasDeclarationAccepted(1, "1"));
	}

	@Test
	public void memberThatDoesNotLeadNamesTheLeader() {
		this.leads = false;
		Assert.assertEquals(this.service.read().getLeft().leaderAddress(), Optional.of("10.0.0.1:80"));
		Assert.assertEquals(this.service.replace(declared(1, 0, "1")).getLeft().verdict(), ExecutionVerdict.NOT_RUN);
	}

	@Test
	public void resentOrderBeginsNoSecondMoveAndAnotherOrderIsRefused() {
		MoveOrders orders = new MoveOrders(this.mesh, this.log, this.confirmation, () -> this.nowMillis);
		this.service.replace(declared(1, 0, "1", route("a", "/a/", "catalogue")));
		Assert.assertEquals(orders.begin("catalogue", "v2", 15_000).get().kind(), Kind.STALE);
		orders.recordInitialVersion("catalogue", "v1");
		Assert.assertFalse(orders.recordInitialVersion("catalogue", "v9").get().applied());
		Assert.assertTrue(orders.begin("catalogue", "v2", 15_000).get().applied());
		MoveState move = orders.newest("catalogue").get().orElseThrow();
		this.nowMillis += 3_000;
		Assert.assertTrue(orders.begin("catalogue", "v2", 15_000).get().applied());
		Assert.assertEquals(orders.newest("catalogue").get().orElseThrow().id(), move.id());
		Assert.assertEquals(orders.begin("catalogue", "v3", 15_000).get().kind(), Kind.REFUSED);
		Assert.assertEquals(orders.begin("unknown", "v3", 15_000).get().kind(), Kind.REFUSED);
		new MoveService(this.log, () -> this.nowMillis).withdraw(move, "errors", "", "");
		Assert.assertTrue(orders.begin("catalogue", "v2", 15_000).get().applied());
		Assert.assertEquals(orders.newest("catalogue").get().orElseThrow().status(), MoveStatus.TAKEN_BACK,
				"a resent order must not try a version again that was taken back");
	}

	/**
	 * Guards against a split that does not add up, which nodes reject together with every
	 * later version.
	 */
	@Test
	public void moveToTheVersionThatServesAlreadyIsFinishedAtOnceAndChangesNothing() {
		MoveOrders orders = new MoveOrders(this.mesh, this.log, this.confirmation, () -> this.nowMillis);
		this.service.replace(declared(1, 0, "1", route("a", "/a/", "catalogue")));
		orders.recordInitialVersion("catalogue", "v1");
		long version = this.mesh.configuration().version();
		Assert.assertTrue(orders.begin("catalogue", "v1", 12_000).get().applied());
		MoveState move = orders.newest("catalogue").get().orElseThrow();
		Assert.assertEquals(move.status(), MoveStatus.DONE);
		Assert.assertEquals(this.mesh.configuration().version(), version);
		Assert.assertEquals(this.mesh.configuration().service("catalogue").orElseThrow().split(), Map.of("v1", 10_000));
		Assert.assertTrue(orders.begin("catalogue", "v2", 12_000).get().applied(), "no move is in progress");
	}

	@Test
	public void serviceDeclaredAgainKeepsItsVersion() {
		MoveOrders orders = new MoveOrders(this.mesh, this.log, this.confirmation, () -> this.nowMillis);
		this.service.replace(declared(1, 0, "1", route("a", "/a/", "catalogue")));
		orders.recordInitialVersion("catalogue", "v1");
		DeclaredConfiguration without = new DeclaredConfiguration(2, 1, "2", List.of(),
				new TreeSet<>(Set.of("counter")), CallerLimits.DEFAULT, new TreeMap<>());
		this.service.replace(without);
		Assert.assertTrue(this.mesh.configuration().service("catalogue").isEmpty());
		this.service.replace(declared(3, 2, "3", route("a", "/a/", "catalogue")));
		Assert.assertEquals(this.mesh.configuration().service("catalogue").orElseThrow().split(), Map.of("v1", 10_000));
	}

	@Test
	public void withdrawnKeyAndEvacuationHoldAfterARestore() {
		declare(DeclaredColdStart.NONE, SHOP, new DeclaredTeam("desk", List.of("key-3"), 0, 0, 0));
		this.mesh.apply(++this.index, CommandBinding.toBytes(new Command.SetEvacuation(1, "north", true)));
		declare(DeclaredColdStart.NONE, new DeclaredTeam("shop", List.of("key-2"), 1, 20.5, 4));
		MeshStateMachine restored = new MeshStateMachine();
		restored.restore(this.mesh.snapshot());
		for (MeshStateMachine member : List.of(this.mesh, restored)) {
			TeamSet teams = member.configuration().teams();
			Assert.assertTrue(teams.findByKey("key-1").isEmpty() && teams.findByKey("key-3").isEmpty());
			Assert.assertEquals(teams.findByKey("key-2").orElseThrow().name(), "shop");
			Assert.assertTrue(member.configuration().evacuations().contains("north"),
					"a declaration does not end an evacuation");
		}
		Assert.assertEquals(restored.configuration().digest(), this.mesh.configuration().digest());
	}

	@Test
	public void changedColdStartKeepsVersionsAndTheMove() {
		declare(DeclaredColdStart.NONE);
		MoveOrders orders = new MoveOrders(this.mesh, this.log, this.confirmation, () -> this.nowMillis);
		orders.recordInitialVersion("catalogue", "v1");
		orders.begin("catalogue", "v2", 15_000);
		// A step of the move is committed between the computation of the edit and its
		// application.
		CommandLog racingLog = (command) -> {
			new MoveService(this.log, () -> 1).step(this.mesh.moves().getLast(), 2_500, false, "ramp");
			return this.log.propose(command);
		};
		DeclarationService racing = new DeclarationService(this.mesh, racingLog, this.confirmation, () -> 1,
				Acknowledgement.IMMEDIATE);
		Assert.assertTrue(racing.replace(declared(2, 1, new DeclaredColdStart(12.5, 13.3))).get().applied());
		ServiceConfiguration service = this.mesh.configuration().service("catalogue").orElseThrow();
		Assert.assertEquals(service.coldStart(), new ColdStart(12_500, 13.3));
		Assert.assertEquals(service.split(), Map.of("v1", 7_500, "v2", 2_500));
		Assert.assertTrue(service.move().isPresent());
	}

	@Test
	public void invalidValuesAreNamedWithTheirPlaceAndWithoutKeys() {
		assertProblem("teams.b.key[1]", "team shop", SHOP, new DeclaredTeam("b", List.of("x", "key-2"), 0, 0, 0));
		assertProblem("teams.b.key[0]", "empty key", new DeclaredTeam("b", List.of(""), 0, 0, 0));
		assertProblem("teams", "without a name", new DeclaredTeam("", List.of("x"), 0, 0, 0));
		assertProblem("teams.b", "-1.5 requests per second", new DeclaredTeam("b", List.of("x"), 0, -1.5, 0));
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

	@DataProvider
	Object[][] hosts() {
		return new Object[][] { { "desk.example:8443", "desk.example:8080", true },
				{ "desk.example:8443", "desk.example", true }, { "[2001:db8::1]", "[2001:db8::2]", true },
				{ "desk.example", "other.example", true }, { "desk.example", "DESK.example", false },
				{ "desk.example", "desk.example:80", false }, { "desk.example:8443", "desk.example:08443", false },
				{ "[::1]", "[0::1]:80", false }, { "desk.example", "%64esk.example", false } };
	}

	// The check of a declaration and the choice of the route once had different rules.
	@Test(dataProvider = "hosts")
	public void routesMayShareAPrefixUnlessTheirHostsAreTheSame(String one, String other, boolean allowed) {
		DeclaredConfiguration declared = declared(1, 0, "a", route("r-1", one, "/a/", "catalogue"),
				route("r-2", other, "/a/", "counter"));
		Assert.assertEquals(this.service.replace(declared).isRight(), allowed);
		Assert.assertEquals(this.mesh.configuration().routes().all().size(), allowed ? 2 : 0);
	}

	@Test
	public void hostThatNoRequestCanNameIsRefusedWithItsPlace() {
		for (String host : List.of("", "desk.example:http", "desk.example:65536", "a b", "u@h", "[::1", "d\u00e4sk")) {
			List<Problem> problems = DeclarationValidator
				.problems(declared(1, 0, "a", route("r-1", host, "/a/", "catalogue")));
			Assert.assertEquals(problems.size(), 1, host);
			Assert.assertTrue(problems.getFirst().toString().contains("routes.r-1: found host '" + host + "'"),
					problems.getFirst().toString());
		}
	}

	private void assertProblem(String place, String value, DeclaredTeam... teams) {
		List<String> problems = problems(DeclaredColdStart.NONE, teams);
		Assert.assertEquals(problems.size(), 1, problems.toString());
		Assert.assertTrue(problems.getFirst().contains(place) && problems.getFirst().contains(value),
				problems.getFirst());
		Assert.assertFalse(problems.getFirst().contains("key-2"), problems.getFirst());
	}

	private List<String> problems(DeclaredColdStart coldStart, DeclaredTeam... teams) {
		List<Problem> problems = DeclarationValidator.problems(declared(1, 0, coldStart, teams));
		return problems.stream().map(Problem::toString).toList();
	}

	private void declare(DeclaredColdStart coldStart, DeclaredTeam... teams) {
		long base = this.mesh.currentDeclaration().declaredVersion();
		Assert.assertTrue(this.service.replace(declared(base + 1, base, coldStart, teams)).get().applied());
	}

	private static DeclaredConfiguration declared(long version, long base, DeclaredColdStart coldStart,
			DeclaredTeam... teams) {
		return new DeclaredConfiguration(version, base, "digest " + version, List.of(),
				new TreeMap<>(Map.of("catalogue", coldStart)), CallerLimits.DEFAULT, List.of(teams), new TreeMap<>());
	}

	private static DeclaredConfiguration declared(long version, long base, String digest, HostRoute... routes) {
		TreeMap<String, String> parts = new TreeMap<>();
		for (HostRoute route : routes) {
			parts.put("routes/" + route.name(), route.pathPrefix());
		}
		return new DeclaredConfiguration(version, base, digest, List.of(routes),
				new TreeSet<>(Set.of("catalogue", "counter")), CallerLimits.DEFAULT, parts);
	}

	private static HostRoute route(String name, String prefix, String service) {
		return route(name, "shop.example", prefix, service);
	}

	private static HostRoute route(String name, String host, String prefix, String service) {
		return HostRoute.builder(name).match(host, prefix).rules(rules(name)).service(service).build();
	}

	private static HostRoute weighted(String name, Map<String, Integer> weights) {
		return HostRoute.builder(name).match("shop.example", "/").rules(rules(name)).weights(weights).build();
	}

	private static CallRules rules(String name) {
		return new CallRules(name, true, 1_000, 500, 0, 2, 1_000);
	}

}
