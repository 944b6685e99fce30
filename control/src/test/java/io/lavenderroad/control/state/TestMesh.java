package io.lavenderroad.control.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.model.Change;
import io.lavenderroad.model.ChangeOutcome;
import io.lavenderroad.model.MoveState;
import io.vavr.control.Either;

/**
 * State machine of a single member with its log in memory, for tests.
 */
public final class TestMesh {

	static final String TEMPLATE = """
			kind: template
			name: shop
			parameters:
			  queue: { type: integer, default: 10 }
			services:
			  desk:
			    open-to-callers: true
			    limits: { queue-length: $queue }
			    move: { deadline: 30m }
			    routes:
			      - { name: orders, method: POST, path-prefix: /orders, idempotent: false }
			      - { name: queries, method: GET, path-prefix: /, idempotent: true }
			""";

	private static final long START_MILLIS = 1_800_000_000_000L;

	public final MeshStateMachine stateMachine = new MeshStateMachine();

	public long nowMillis = START_MILLIS;

	/**
	 * Whether commands are committed while their answers are lost.
	 */
	public boolean losesAnswers;

	public boolean leads = true;

	/**
	 * Runs once before the next command is committed, like a concurrent request of
	 * another client.
	 */
	Runnable beforeCommit = () -> {
	};

	final List<byte[]> log = new ArrayList<>();

	public final ChangeService changes = new ChangeService(this.stateMachine, this::propose, this::confirm,
			(policy) -> policy.equals("sequential"), () -> this.nowMillis, Acknowledgement.IMMEDIATE);

	public final MoveService moves = new MoveService(this::propose, () -> this.nowMillis);

	public final EvacuationOrders evacuations = EvacuationOrders.builder(this.stateMachine)
		.log(this::propose, this::confirm)
		.clock(() -> this.nowMillis)
		.configuredDomains(() -> Set.of("north", "south"))
		.build();

	public Either<CommandFailure, byte[]> propose(byte[] command) {
		Runnable first = this.beforeCommit;
		this.beforeCommit = () -> {
		};
		first.run();
		this.log.add(command);
		byte[] answer = this.stateMachine.apply(this.log.size(), command);
		return this.losesAnswers
				? Either
					.left(new CommandFailure(ExecutionVerdict.MAY_HAVE_RUN, "the answer was lost", Optional.empty()))
				: Either.right(answer);
	}

	public Either<CommandFailure, Long> confirm() {
		return this.leads ? Either.right((long) this.log.size()) : Either
			.left(new CommandFailure(ExecutionVerdict.NOT_RUN, "not the leader", Optional.of("127.0.0.9:7490")));
	}

	Either<ChangeRefusal, ChangeOutcome> apply(String id, long base, String services) {
		return this.changes.apply(change(id, base, services));
	}

	long accept(String id, String services) {
		ChangeOutcome outcome = apply(id, this.stateMachine.configuration().version(), services).get();
		if (!outcome.accepted()) {
			throw new AssertionError(outcome.reason());
		}
		return outcome.version();
	}

	public static Change change(String id, long base, String services) {
		String parameters = "kind: parameters\nteam: sales\ntemplate: shop\nservices:\n" + services;
		return Change.ofDocuments(id, base, "thandi",
				Map.of("template/shop", TEMPLATE, "parameters/sales", parameters));
	}

	MoveState move() {
		return this.stateMachine.moves().getLast();
	}

	Map<String, Integer> split() {
		return this.stateMachine.configuration().service("desk").orElseThrow().split();
	}

}
