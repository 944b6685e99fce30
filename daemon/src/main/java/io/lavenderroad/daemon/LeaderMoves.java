package io.lavenderroad.daemon;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import io.lavenderroad.control.moves.MoveController;
import io.lavenderroad.control.moves.MoveStore;
import io.lavenderroad.control.raft.Leadership;
import io.lavenderroad.control.state.CommandFailure;
import io.lavenderroad.control.state.CommandOutcome;
import io.lavenderroad.control.state.MeshStateMachine;
import io.lavenderroad.control.state.MoveService;
import io.lavenderroad.core.Clock;
import io.lavenderroad.core.kernel.Kernel;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.Evidence;
import io.lavenderroad.model.MoveState;
import io.lavenderroad.model.MoveStatus;
import io.lavenderroad.model.ServiceConfiguration;
import io.vavr.control.Either;

/**
 * Runs the move controller while this member leads. Each leadership starts a controller
 * without evidence.
 */
final class LeaderMoves implements MoveStore {

	private final MeshStateMachine mesh;

	private final MoveService moves;

	private final Function<String, List<Endpoint>> endpoints;

	private final Kernel kernel;

	private final Clock clock;

	private volatile MoveController controller;

	private LeaderMoves(MeshStateMachine mesh, MoveService moves, Function<String, List<Endpoint>> endpoints,
			Kernel kernel, Clock clock) {
		this.mesh = mesh;
		this.moves = moves;
		this.endpoints = endpoints;
		this.kernel = kernel;
		this.clock = clock;
	}

	static LeaderMoves create(MeshStateMachine mesh, MoveService moves, Function<String, List<Endpoint>> endpoints,
			Kernel kernel, Clock clock) {
		return new LeaderMoves(mesh, moves, endpoints, kernel, clock);
	}

	/**
	 * Starts or drops the controller.
	 * @param leadership the new state
	 */
	void leadershipChanged(Leadership leadership) {
		if (!leadership.ready()) {
			this.controller = null;
		}
		else if (this.controller == null) {
			this.controller = new MoveController(this, this.kernel);
		}
	}

	/**
	 * Tells whether this member decides on moves.
	 * @return true while it leads
	 */
	boolean leads() {
		return this.controller != null;
	}

	/**
	 * Takes evidence; a member that does not lead drops it.
	 * @param evidence observations that were not given before
	 */
	void add(Evidence evidence) {
		MoveController present = this.controller;
		if (present != null) {
			present.add(evidence);
		}
	}

	/**
	 * Decides on every move once, if this member leads.
	 */
	void tick() {
		MoveController present = this.controller;
		if (present != null) {
			present.tick(this.clock.millis());
		}
	}

	@Override
	public Collection<MoveState> moves() {
		return this.mesh.activeMoves();
	}

	@Override
	public Optional<ServiceConfiguration> service(String service) {
		return this.mesh.configuration().service(service);
	}

	@Override
	public List<Endpoint> endpoints(String service) {
		return this.endpoints.apply(service);
	}

	@Override
	public boolean propose(MoveState expected, MoveState next) {
		return outcome(expected, next).map(CommandOutcome::applied).getOrElse(false);
	}

	private Either<CommandFailure, CommandOutcome> outcome(MoveState expected, MoveState next) {
		if (next.status() == MoveStatus.TAKEN_BACK) {
			return this.moves.withdraw(expected, next.reason(), next.route(), next.figures());
		}
		if (next.status() == MoveStatus.DONE) {
			return this.moves.finish(expected, next.reason(), next.figures());
		}
		if (next.step() == expected.step()) {
			return this.moves.warn(expected, next.warnings().getLast());
		}
		return this.moves.step(expected, next.shareBasisPoints(), next.status() == MoveStatus.WATCHING, next.reason());
	}

}
