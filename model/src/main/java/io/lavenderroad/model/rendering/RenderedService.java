package io.lavenderroad.model.rendering;

import java.util.Objects;
import java.util.Optional;

import io.lavenderroad.model.ServiceConfiguration;

/**
 * What the documents ask for one service. The configuration has all traffic on the
 * current version and no move; the state machine sets both from the state of the moves.
 *
 * @param configuration the service without move and with modified version 0
 * @param current version that has the traffic when no move is active
 * @param move the move asked for
 * @param atOnce version that may take all traffic without a move
 */
public record RenderedService(ServiceConfiguration configuration, String current, Optional<MoveRequest> move,
		Optional<String> atOnce) {

	public RenderedService {
		Objects.requireNonNull(configuration, "configuration");
		Objects.requireNonNull(current, "current");
		Objects.requireNonNull(move, "move");
		Objects.requireNonNull(atOnce, "atOnce");
	}

	/**
	 * Returns the name of the service.
	 * @return the name
	 */
	public String name() {
		return this.configuration.name();
	}

}
