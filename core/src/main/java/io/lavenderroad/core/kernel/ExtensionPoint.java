package io.lavenderroad.core.kernel;

import java.util.Objects;

/**
 * A named point at which plug-ins register implementations.
 *
 * @param <T> type of the implementations
 * @param name name for error messages
 * @param type class of the implementations
 */
public record ExtensionPoint<T>(String name, Class<T> type) {

	public ExtensionPoint {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(type, "type");
	}

}
