package io.lavenderroad.model.rendering;

/**
 * Time by which a move must be finished: absolute, or relative to the acceptance of the
 * move.
 *
 * @param relative true if {@code millis} counts from the acceptance of the move
 * @param millis milliseconds since the epoch, or milliseconds after the acceptance
 */
public record Deadline(boolean relative, long millis) {

	/**
	 * Returns the absolute deadline.
	 * @param acceptedMillis when the move was accepted, milliseconds since the epoch
	 * @return milliseconds since the epoch
	 */
	public long resolve(long acceptedMillis) {
		return this.relative ? acceptedMillis + this.millis : this.millis;
	}

}
