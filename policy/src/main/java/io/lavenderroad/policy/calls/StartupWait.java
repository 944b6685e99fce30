package io.lavenderroad.policy.calls;

/**
 * Decides how long a request may wait at a node that has no confirmed configuration yet.
 * It handles requests to a node that has just been restarted: the configuration version
 * is confirmed within about a second, and a refusal would use up one of the few attempts
 * of a caller. If a process has run for longer without a configuration, the control group
 * is unreachable, and requests are refused immediately.
 */
public final class StartupWait {

	/**
	 * Age of a process up to which its first configuration is still expected.
	 */
	static final long STARTUP_MILLIS = 2_000;

	/**
	 * Maximum wait of a request.
	 */
	static final long MAXIMUM_WAIT_MILLIS = 600;

	/**
	 * A request waits for at most its time limit divided by this number; the remaining
	 * time is left for running it.
	 */
	static final int DEADLINE_DIVISOR = 3;

	private StartupWait() {
	}

	/**
	 * Returns how long a request may wait.
	 * @param ageMillis time since the process started
	 * @param deadlineMillis time limit of the caller for the request
	 * @return milliseconds, 0 if the request is refused immediately
	 */
	public static long millis(long ageMillis, long deadlineMillis) {
		if (ageMillis >= STARTUP_MILLIS) {
			return 0;
		}
		return Math.clamp(deadlineMillis / DEADLINE_DIVISOR, 0, MAXIMUM_WAIT_MILLIS);
	}

}
