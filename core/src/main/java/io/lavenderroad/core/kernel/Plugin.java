package io.lavenderroad.core.kernel;

/**
 * Adds extensions to a kernel. Implementations are found by
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
