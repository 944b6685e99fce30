package io.lavenderroad.daemon;

import java.util.List;
import java.util.function.Function;

import io.lavenderroad.control.moves.InitialVersion;
import io.lavenderroad.control.state.MeshStateMachine;
import io.lavenderroad.control.state.MoveOrders;
import io.lavenderroad.model.Endpoint;

/**
 * Records the version of each declared service that has none, as soon as its backend
 * servers are registered. Only the leader runs it.
 */
final class InitialVersionRecorder {

	private final MeshStateMachine mesh;

	private final Function<String, List<Endpoint>> endpoints;

	private final MoveOrders orders;

	InitialVersionRecorder(MeshStateMachine mesh, Function<String, List<Endpoint>> endpoints, MoveOrders orders) {
		this.mesh = mesh;
		this.endpoints = endpoints;
		this.orders = orders;
	}

	void recordMissing() {
		for (String service : this.mesh.servicesWithoutVersion()) {
			InitialVersion.choose(this.endpoints.apply(service))
				.ifPresent((version) -> this.orders.recordInitialVersion(service, version));
		}
	}

}
