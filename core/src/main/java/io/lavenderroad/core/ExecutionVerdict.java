package io.lavenderroad.core;

/**
 * Whether a request may have run. Every layer propagates this verdict, so that a caller
 * can decide whether a retry is safe.
 */
public enum ExecutionVerdict {

	/**
	 * The request did not run and will never run.
	 */
	NOT_RUN("not-run"),

	/**
	 * It is unknown whether the request ran.
	 */
	MAY_HAVE_RUN("may-have-run"),

	/**
	 * The request ran and its complete answer was received.
	 */
	RAN("ran");

	private final String label;

	ExecutionVerdict(String label) {
		this.label = label;
	}

	/**
	 * Returns the form used in headers, logs and reports.
	 * @return lower-case words joined by hyphens
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Combines the verdicts of two attempts at the same request. {@code NOT_RUN} never
	 * overrides {@code RAN} or {@code MAY_HAVE_RUN}, and {@code RAN} overrides both
	 * others.
	 * @param other the verdict of the other attempt
	 * @return the combined verdict
	 */
	public ExecutionVerdict combine(ExecutionVerdict other) {
		if (this == other) {
			return this;
		}
		if (this == NOT_RUN) {
			return other;
		}
		if (other == NOT_RUN) {
			return this;
		}
		return RAN;
	}

}
