package io.lavenderroad.tool;

/**
 * Exit codes of the tool.
 */
enum ExitCode {

	/**
	 * The command succeeded.
	 */
	SUCCESS(0),

	/**
	 * The command failed while it ran.
	 */
	FAILURE(1),

	/**
	 * The command line is wrong.
	 */
	USAGE(2),

	/**
	 * The documents or other input are invalid.
	 */
	INVALID_INPUT(3),

	/**
	 * The request was refused and has not run.
	 */
	REFUSED(4),

	/**
	 * It is unknown whether the request has run.
	 */
	UNKNOWN(5);

	private final int value;

	ExitCode(int value) {
		this.value = value;
	}

	int value() {
		return this.value;
	}

}
