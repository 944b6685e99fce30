package io.lavenderroad.daemon;

import io.lavenderroad.core.kernel.Kernel;
import io.lavenderroad.core.kernel.Plugin;

/**
 * Registers the roles of the daemon.
 */
public final class RolesPlugin implements Plugin {

	@Override
	public void register(Kernel kernel) {
		kernel.register(Role.EXTENSION_POINT, SettingsBinding.CONTROL_ROLE, ControlRole::start);
		kernel.register(Role.EXTENSION_POINT, SettingsBinding.NODE_ROLE, NodeRole::start);
	}

}
