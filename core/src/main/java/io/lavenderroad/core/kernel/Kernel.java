package io.lavenderroad.core.kernel;

import java.util.Map;
import java.util.Optional;
import java.util.ServiceLoader;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

import io.lavenderroad.core.LavenderroadException;

/**
 * Registry of named extensions by extension point. It has no compile-time dependency on
 * any plug-in.
 */
public final class Kernel {

	private final Map<ExtensionPoint<?>, Map<String, Object>> extensions = new ConcurrentHashMap<>();

	/**
	 * Creates a kernel filled by every plug-in on the class path.
	 * @return the filled kernel
	 */
	public static Kernel load() {
		Kernel kernel = new Kernel();
		for (Plugin plugin : ServiceLoader.load(Plugin.class)) {
			plugin.register(kernel);
		}
		return kernel;
	}

	/**
	 * Adds an extension.
	 * @param <T> type of the extension
	 * @param point the extension point
	 * @param name name of the extension, unique at its point
	 * @param extension the implementation
	 * @throws LavenderroadException if the name is already registered at this point
	 */
	public <T> void register(ExtensionPoint<T> point, String name, T extension) {
		Map<String, Object> extensionsByName = this.extensions.computeIfAbsent(point,
				(key) -> new ConcurrentHashMap<>());
		if (extensionsByName.putIfAbsent(name, extension) != null) {
			throw new LavenderroadException("extension '" + name + "' of " + point.name() + " is registered twice");
		}
	}

	/**
	 * Finds an extension.
	 * @param <T> type of the extension
	 * @param point the extension point
	 * @param name name of the extension
	 * @return the extension, or empty if none has this name
	 */
	public <T> Optional<T> find(ExtensionPoint<T> point, String name) {
		Map<String, Object> extensionsByName = this.extensions.getOrDefault(point, Map.of());
		return Optional.ofNullable(point.type().cast(extensionsByName.get(name)));
	}

	/**
	 * Lists the names registered at a point.
	 * @param point the extension point
	 * @return the names in alphabetical order
	 */
	public Set<String> names(ExtensionPoint<?> point) {
		return new TreeSet<>(new TreeMap<>(this.extensions.getOrDefault(point, Map.of())).keySet());
	}

}
