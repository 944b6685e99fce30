package io.lavenderroad.core.kernel;

import java.util.Objects;

/**
 * A named place where plug-ins add implementations.
 *
 * @param <T> type of the implementations
 * @param name name used in messages
 * @param type class of the implementations
 */
public record ExtensionPoint<T>(String name, Class<T> type) {

	public ExtensionPoint {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(type, "type");
	}

}
