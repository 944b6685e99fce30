package io.lavenderroad.daemon;

import java.io.IOException;

import io.lavenderroad.core.kernel.ExtensionPoint;
import io.lavenderroad.core.kernel.Kernel;

/**
 * Starts what a daemon does. Roles are registered by plug-ins.
 */
@FunctionalInterface
public interface Role {

	/**
	 * Where plug-ins register roles. The name of the extension is the value of the key
	 * {@code role} in the settings.
	 */
	ExtensionPoint<Role> POINT = new ExtensionPoint<>("role", Role.class);

	/**
	 * Starts the role.
	 * @param settings checked settings
	 * @param kernel registered extensions
	 * @return the started role
	 * @throws IOException if an address cannot be bound or the data folder not be used
	 */
	RunningRole start(DaemonSettings settings, Kernel kernel) throws IOException;

}
