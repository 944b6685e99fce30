package io.lavenderroad.model.rendering;

/**
 * Allowed range of a number, a duration in milliseconds or a share in 1/10,000.
 *
 * @param minimum smallest allowed value
 * @param maximum largest allowed value
 */
public record Range(long minimum, long maximum) {

	/**
	 * Tells whether a value is allowed.
	 * @param value the value
	 * @return true if it is within the range
	 */
	public boolean contains(long value) {
		return value >= this.minimum && value <= this.maximum;
	}

}
