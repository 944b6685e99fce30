package io.lavenderroad.control.state;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;

import io.lavenderroad.model.CallRules;
import io.lavenderroad.model.CallerLimits;
import io.lavenderroad.model.HostRoute;
import io.lavenderroad.model.MoveState;
import io.vavr.control.Either;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a committed version that nodes reject: they would reject every later one
 * too, although operators got an acknowledgement. Draws series of declarations and moves.
 */
public class CommittedVersionTests {

	private static final int COMMANDS = 300;

	private static final List<String> SERVICES = List.of("catalogue", "counter", "stock");

	private static final List<String> VERSIONS = List.of("v1", "v2", "v3", "");

	private static final int[] SHARES = { 0, 1, 1_000, 9_999, 10_000 };

	private static final int[] WEIGHTS = { 0, 1, 7, Integer.MAX_VALUE };

	private MeshStateMachine mesh;

	private final CommandLog log = (command) -> Either.right(apply(command));

	private long nowMillis;

	private long index;

	@BeforeMethod
	void start() {
		this.mesh = new MeshStateMachine();
		this.nowMillis = 1_000;
		this.index = 0;
	}

	@DataProvider
	Object[][] seeds() {
		Object[][] seeds = new Object[100][];
		for (int seed = 0; seed < seeds.length; seed++) {
			seeds[seed] = new Object[] { (long) seed };
		}
		return seeds;
	}

	@Test(dataProvider = "seeds")
	public void everyCommittedVersionCanBeActivated(long seed) {
		Random random = new Random(seed);
		for (int count = 0; count < COMMANDS; count++) {
			this.nowMillis += random.nextInt(12_000);
			long before = this.mesh.configuration().version();
			String command = runOne(random);
			String description = "seed " + seed + ", command " + count + ": " + command;
			Assert.assertEquals(this.mesh.configuration().missingResources(), List.of(), description);
			Assert.assertTrue(this.mesh.configuration().version() >= before, description);
		}
	}

	private String runOne(Random random) {
		String service = SERVICES.get(random.nextInt(SERVICES.size()));
		String version = VERSIONS.get(random.nextInt(VERSIONS.size()));
		ReadConfirmation confirmation = () -> Either.right(this.index);
		MoveOrders orders = new MoveOrders(this.mesh, this.log, confirmation, () -> this.nowMillis);
		return switch (random.nextInt(6)) {
			case 0 -> declare(random, confirmation);
			case 1 -> "begin " + service + " " + version + " " + orders.begin(service, version, 1_000);
			case 2 -> "initial " + service + " " + version + " " + orders.recordInitialVersion(service, version);
			case 3 -> step(random);
			case 4 -> command(random,
					(move) -> new Command.WithdrawMove(this.nowMillis, move.id(), Command.ANY_STEP, "", "r", "", ""));
			default ->
				command(random, (move) -> new Command.FinishMove(this.nowMillis, move.id(), Command.ANY_STEP, "r", ""));
		};
	}

	private String declare(Random random, ReadConfirmation confirmation) {
		DeclarationService declarations = new DeclarationService(this.mesh, this.log, confirmation,
				() -> this.nowMillis, Acknowledgement.IMMEDIATE);
		List<String> services = new ArrayList<>(SERVICES);
		Collections.shuffle(services, random);
		services = services.subList(0, 1 + random.nextInt(SERVICES.size()));
		long base = this.mesh.currentDeclaration().declaredVersion();
		Map<String, Integer> weights = new TreeMap<>();
		services.forEach((name) -> weights.put(name, WEIGHTS[random.nextInt(WEIGHTS.length)]));
		HostRoute route = HostRoute.builder("a")
			.match("shop.example", "/")
			.rules(new CallRules("a", true, 1_000, 500, 0, 2, 1_000))
			.weights(weights)
			.build();
		DeclaredConfiguration declared = new DeclaredConfiguration(base + 1, base, "digest " + (base + 1),
				List.of(route), new TreeSet<>(services), CallerLimits.DEFAULT, new TreeMap<>());
		return "declare " + services + " " + weights + " " + declarations.replace(declared);
	}

	private String step(Random random) {
		int share = SHARES[random.nextInt(SHARES.length)];
		return command(random, (move) -> new Command.StepMove(this.nowMillis, move.id(), Command.ANY_STEP, share,
				share == 10_000, "r"));
	}

	private String command(Random random, MoveCommand command) {
		List<MoveState> moves = this.mesh.moves();
		Optional<MoveState> move = moves.isEmpty() ? Optional.empty()
				: Optional.of(moves.get(random.nextInt(moves.size())));
		return move.map(command::of)
			.map((value) -> value + " " + this.log.propose(CommandBinding.toBytes(value)))
			.orElse("");
	}

	/**
	 * Applies a command and checks that it was not refused by the last check before the
	 * commit, which is there for faults that this test looks for.
	 */
	private byte[] apply(byte[] command) {
		byte[] outcome = this.mesh.apply(++this.index, command);
		String reason = CommandBinding.outcomeFromBytes(outcome).reason();
		Assert.assertFalse(reason.contains("nodes would reject"), reason);
		return outcome;
	}

	/**
	 * Creates a command for a move.
	 */
	@FunctionalInterface
	private interface MoveCommand {

		Command of(MoveState move);

	}

}
