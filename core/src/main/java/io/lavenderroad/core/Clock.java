package io.lavenderroad.core;

/**
 * Source of time for all parts of the system. Tests inject a fake clock, so that their
 * results do not depend on the speed of the machine.
 */
@FunctionalInterface
public interface Clock {

	/**
	 * Returns the current time.
	 * @return milliseconds since the Unix epoch
	 */
	long millis();

	/**
	 * Returns a clock that starts at the wall-clock time of this call and then advances
	 * with the monotonic timer of the machine, so that it never runs backwards.
	 * @return the system clock
	 */
	static Clock system() {
		long startMillis = System.currentTimeMillis();
		long startNanos = System.nanoTime();
		return () -> startMillis + (System.nanoTime() - startNanos) / 1_000_000;
	}

	/**
	 * Returns the time of day of the machine, which may be set forward or back. It is
	 * only for comparison with times that another process on the machine states.
	 * @return the clock
	 */
	static Clock timeOfDay() {
		return System::currentTimeMillis;
	}

}
