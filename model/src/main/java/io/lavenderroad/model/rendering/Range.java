package io.lavenderroad.model.rendering;

/**
 * Inclusive range of numbers, durations in milliseconds or shares in 1/10,000.
 *
 * @param minimum lowest allowed value
 * @param maximum highest allowed value
 */
public record Range(long minimum, long maximum) {

	public boolean contains(long value) {
		return value >= this.minimum && value <= this.maximum;
	}

}
