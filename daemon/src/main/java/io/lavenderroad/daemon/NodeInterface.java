package io.lavenderroad.daemon;

import java.util.Map;

import com.sun.net.httpserver.HttpHandler;
import io.lavenderroad.core.kernel.ExtensionPoint;
import io.lavenderroad.node.BackendRegistration;
import io.lavenderroad.node.CallDialect;

/**
 * How the surroundings of a node speak to it: its callers, the backend server that
 * announces itself, and whoever asks whether the node is ready. An interface translates
 * and decides nothing.
 */
public interface NodeInterface {

	/**
	 * Where plug-ins register interfaces. The name is the value of the key
	 * {@code interface} in the settings.
	 */
	ExtensionPoint<NodeInterface> POINT = new ExtensionPoint<>("node interface", NodeInterface.class);

	/**
	 * Returns how callers and the backend server state the terms of a call.
	 * @return the dialect
	 */
	CallDialect dialect();

	/**
	 * Creates the pages on which the backend server announces itself.
	 * @param registration takes its announcements
	 * @return handlers by path
	 */
	Map<String, HttpHandler> announcementPages(BackendRegistration registration);

	/**
	 * Creates the pages that tell whether the node is ready.
	 * @param readiness tells whether callers may use the node
	 * @return handlers by path
	 */
	Map<String, HttpHandler> readinessPages(Readiness readiness);

	/**
	 * Tells whether a node is ready.
	 */
	@FunctionalInterface
	interface Readiness {

		/**
		 * Tells whether callers may use the node.
		 * @return false before its configuration is confirmed and while it stops
		 */
		boolean isReady();

	}

}
