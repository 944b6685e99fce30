package io.lavenderroad.core;

/**
 * One validation error of an input.
 *
 * @param location where it was found
 * @param found what was found
 * @param allowed what is allowed there
 */
public record Problem(Location location, String found, String allowed) {

	@Override
	public String toString() {
		return this.location + ": found " + this.found + "; allowed: " + this.allowed;
	}

}
