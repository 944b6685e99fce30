package io.lavenderroad.tool;

import io.lavenderroad.core.LavenderroadException;

/**
 * Ends a command with an exit code and a message for the operator.
 */
final class ToolException extends LavenderroadException {

	private static final long serialVersionUID = 1L;

	private final ExitCode exitCode;

	ToolException(ExitCode exitCode, String message) {
		super(message);
		this.exitCode = exitCode;
	}

	ExitCode exitCode() {
		return this.exitCode;
	}

}
