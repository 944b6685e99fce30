package io.lavenderroad.daemon;

import java.util.List;
import java.util.function.Function;

import io.lavenderroad.control.moves.FirstVersion;
import io.lavenderroad.control.state.MeshStateMachine;
import io.lavenderroad.control.state.MoveOrders;
import io.lavenderroad.model.Endpoint;

/**
 * Records the version of each declared service that has none, as soon as its backend
 * servers are registered. Only the leader runs it.
 */
final class FirstVersionRecorder {

	private final MeshStateMachine mesh;

	private final Function<String, List<Endpoint>> endpoints;

	private final MoveOrders orders;

	FirstVersionRecorder(MeshStateMachine mesh, Function<String, List<Endpoint>> endpoints, MoveOrders orders) {
		this.mesh = mesh;
		this.endpoints = endpoints;
		this.orders = orders;
	}

	void recordMissing() {
		for (String service : this.mesh.servicesWithoutVersion()) {
			FirstVersion.choose(this.endpoints.apply(service))
				.ifPresent((version) -> this.orders.recordFirstVersion(service, version));
		}
	}

}
