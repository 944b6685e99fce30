package io.lavenderroad.model;

import java.util.List;
import java.util.Objects;

/**
 * Durable state of a move.
 *
 * @param service name of the service
 * @param parameters what the operator requested
 * @param startedMillis when the move started, milliseconds since the epoch
 * @param status status of the move
 * @param step number of share changes so far
 * @param shareBasisPoints share of the new version in 1/10,000
 * @param stepMillis time of the last step, milliseconds since the epoch
 * @param reason reason for the current status, a short sentence
 * @param route route whose evidence caused a withdrawal, or empty
 * @param statistics statistics that the verdict is based on, such as
 * {@code errors new 12/300 old 1/900}
 * @param finishedMillis when the verdict was reached, milliseconds since the epoch, or 0
 * @param warnings early warnings to the operator, oldest first
 */
public record MoveState(String service, MoveParameters parameters, long startedMillis, MoveStatus status, int step,
		int shareBasisPoints, long stepMillis, String reason, String route, String statistics, long finishedMillis,
		List<String> warnings) {

	public MoveState {
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(parameters, "parameters");
		Objects.requireNonNull(status, "status");
		Objects.requireNonNull(reason, "reason");
		Objects.requireNonNull(route, "route");
		Objects.requireNonNull(statistics, "figures");
		warnings = List.copyOf(warnings);
	}

	/**
	 * Returns the state of a move that has just started, with no share on the new
	 * version.
	 * @param service name of the service
	 * @param parameters what the operator requested
	 * @param nowMillis the current time, milliseconds since the epoch
	 * @return the state
	 */
	public static MoveState started(String service, MoveParameters parameters, long nowMillis) {
		return new MoveState(service, parameters, nowMillis, MoveStatus.RAMPING, 0, 0, nowMillis, "started", "", "", 0,
				List.of());
	}

	public String id() {
		return this.parameters.id();
	}

}
