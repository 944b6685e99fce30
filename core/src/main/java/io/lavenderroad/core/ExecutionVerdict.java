package io.lavenderroad.core;

/**
 * States whether a request may have run. Every layer passes this verdict on, so that a
 * caller can decide whether sending the request again is safe.
 */
public enum ExecutionVerdict {

	/**
	 * The request did not run and never will.
	 */
	NOT_RUN("not-run"),

	/**
	 * The request may have run; nobody can tell.
	 */
	MAY_HAVE_RUN("may-have-run"),

	/**
	 * The request ran and its whole answer is known.
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
	 * Returns the less certain of two verdicts about attempts at the same request:
	 * {@code RAN} and {@code MAY_HAVE_RUN} are never hidden by a later {@code NOT_RUN}.
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
