package io.lavenderroad.tool;

import io.lavenderroad.core.LavenderroadException;

/**
 * Ends a command with an exit code and a message for the operator.
 */
final class ToolException extends LavenderroadException {

	private static final long serialVersionUID = 1L;

	private final ExitCode exitCode;

	private final String json;

	ToolException(ExitCode exitCode, String message) {
		this(exitCode, message, "");
	}

	ToolException(ExitCode exitCode, String message, String json) {
		super(message);
		this.exitCode = exitCode;
		this.json = json;
	}

	/**
	 * Returns the error response of a member as it was received.
	 * @return a JSON object, or empty if no member sent one
	 */
	String json() {
		return this.json;
	}

	ExitCode exitCode() {
		return this.exitCode;
	}

}
