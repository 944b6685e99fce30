package io.lavenderroad.model.rendering;

/**
 * When a move must be finished: at a fixed time or some time after its acceptance.
 *
 * @param relative true if {@code millis} counts from the acceptance of the move
 * @param millis milliseconds since the epoch, or milliseconds after the acceptance
 */
public record Deadline(boolean relative, long millis) {

	/**
	 * Returns the fixed time of the deadline.
	 * @param acceptedMillis when the move was accepted, milliseconds since the epoch
	 * @return milliseconds since the epoch
	 */
	public long resolve(long acceptedMillis) {
		return this.relative ? acceptedMillis + this.millis : this.millis;
	}

}
