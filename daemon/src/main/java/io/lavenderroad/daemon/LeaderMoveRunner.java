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
 * Runs the move controller while this member is the leader. Each time it becomes the
 * leader, it starts a new controller without evidence.
 */
final class LeaderMoveRunner implements MoveStore {

	private final MeshStateMachine mesh;

	private final MoveService moves;

	private final Function<String, List<Endpoint>> endpoints;

	private final Kernel kernel;

	private final Clock clock;

	private volatile MoveController controller;

	private LeaderMoveRunner(MeshStateMachine mesh, MoveService moves, Function<String, List<Endpoint>> endpoints,
			Kernel kernel, Clock clock) {
		this.mesh = mesh;
		this.moves = moves;
		this.endpoints = endpoints;
		this.kernel = kernel;
		this.clock = clock;
	}

	static LeaderMoveRunner create(MeshStateMachine mesh, MoveService moves, Function<String, List<Endpoint>> endpoints,
			Kernel kernel, Clock clock) {
		return new LeaderMoveRunner(mesh, moves, endpoints, kernel, clock);
	}

	/**
	 * Starts or discards the controller.
	 * @param leadership the new leadership state
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
	 * Returns whether this member decides on moves.
	 * @return true while it is the leader
	 */
	boolean isLeading() {
		return this.controller != null;
	}

	/**
	 * Passes evidence to the controller; a member that is not the leader discards it.
	 * @param evidence observations that were not added before
	 */
	void add(Evidence evidence) {
		MoveController activeController = this.controller;
		if (activeController != null) {
			activeController.add(evidence);
		}
	}

	/**
	 * Evaluates every active move once if this member is the leader.
	 */
	void tick() {
		MoveController activeController = this.controller;
		if (activeController != null) {
			activeController.tick(this.clock.millis());
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
		return proposeTransition(expected, next).map(CommandOutcome::applied).getOrElse(false);
	}

	private Either<CommandFailure, CommandOutcome> proposeTransition(MoveState expected, MoveState next) {
		if (next.status() == MoveStatus.TAKEN_BACK) {
			return this.moves.withdraw(expected, next.reason(), next.route(), next.statistics());
		}
		if (next.status() == MoveStatus.DONE) {
			return this.moves.finish(expected, next.reason(), next.statistics());
		}
		if (next.step() == expected.step()) {
			return this.moves.warn(expected, next.warnings().getLast());
		}
		return this.moves.step(expected, next.shareBasisPoints(), next.status() == MoveStatus.WATCHING, next.reason());
	}

}
