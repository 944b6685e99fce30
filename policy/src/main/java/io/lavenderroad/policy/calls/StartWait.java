package io.lavenderroad.policy.calls;

/**
 * Says how long a request may wait in a node that has no confirmed configuration yet. The
 * load it answers is the callers of a VM whose node has just been restarted: the version
 * is confirmed within about a second, and a refusal would use up one of the few tries of
 * a caller. Later in the life of a process the control group is out of reach, and a
 * request is refused at once.
 */
public final class StartWait {

	/**
	 * Age of a process up to which its first configuration is expected at any moment.
	 */
	static final long START_MILLIS = 2_000;

	/**
	 * Longest wait of a request.
	 */
	static final long LONGEST_MILLIS = 600;

	/**
	 * Part of the time of a request that is left for running it: it waits for at most one
	 * in this many.
	 */
	static final int SHARE_OF_DEADLINE = 3;

	private StartWait() {
	}

	/**
	 * Returns how long a request may wait.
	 * @param ageMillis time since the process started
	 * @param deadlineMillis time that the caller allows for the request
	 * @return milliseconds, 0 if the request is to be refused at once
	 */
	public static long millis(long ageMillis, long deadlineMillis) {
		if (ageMillis >= START_MILLIS) {
			return 0;
		}
		return Math.clamp(deadlineMillis / SHARE_OF_DEADLINE, 0, LONGEST_MILLIS);
	}

}
