package io.lavenderroad.control.state;

import io.lavenderroad.core.LavenderroadException;

/**
 * A command would lead to a configuration that nodes reject. The command is refused and
 * has changed nothing.
 */
final class IncompleteConfigurationException extends LavenderroadException {

	private static final long serialVersionUID = 1;

	IncompleteConfigurationException(String problems) {
		super("nodes would reject the configuration: " + problems);
	}

}
