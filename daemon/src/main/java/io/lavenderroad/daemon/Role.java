package io.lavenderroad.daemon;

import java.io.IOException;

import io.lavenderroad.core.kernel.ExtensionPoint;
import io.lavenderroad.core.kernel.Kernel;

/**
 * Starts a daemon as a control member, a node or another role. Plug-ins register the
 * roles.
 */
@FunctionalInterface
public interface Role {

	/**
	 * Extension point of roles. The name of the extension is the value of the key
	 * {@code role} in the settings.
	 */
	ExtensionPoint<Role> EXTENSION_POINT = new ExtensionPoint<>("role", Role.class);

	/**
	 * Starts the role.
	 * @param settings validated settings
	 * @param kernel registered extensions
	 * @return the started role
	 * @throws IOException if an address cannot be bound or the data folder cannot be used
	 */
	RunningRole start(DaemonSettings settings, Kernel kernel) throws IOException;

}
