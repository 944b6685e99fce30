package io.lavenderroad.core.kernel;

/**
 * Registers extensions with a kernel. Implementations are discovered by
 * {@link java.util.ServiceLoader}.
 */
@FunctionalInterface
public interface Plugin {

	/**
	 * Registers the extensions of this plug-in.
	 * @param kernel the kernel to fill
	 */
	void register(Kernel kernel);

}
