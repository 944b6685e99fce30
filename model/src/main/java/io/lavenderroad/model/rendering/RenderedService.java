package io.lavenderroad.model.rendering;

import java.util.Objects;
import java.util.Optional;

import io.lavenderroad.model.ServiceConfiguration;

/**
 * Service as the documents request it. The configuration has all traffic on the current
 * version and no move; the state machine sets both from the state of the moves.
 *
 * @param configuration the service without move and with modified version 0
 * @param current version that gets all traffic while no move is active
 * @param move the requested move
 * @param immediateVersion version that may take all traffic immediately, without a move
 */
public record RenderedService(ServiceConfiguration configuration, String current, Optional<MoveRequest> move,
		Optional<String> immediateVersion) {

	public RenderedService {
		Objects.requireNonNull(configuration, "configuration");
		Objects.requireNonNull(current, "current");
		Objects.requireNonNull(move, "move");
		Objects.requireNonNull(immediateVersion, "atOnce");
	}

	public String name() {
		return this.configuration.name();
	}

}
