package io.lavenderroad.daemon;

import java.util.Map;

import com.sun.net.httpserver.HttpHandler;
import io.lavenderroad.core.kernel.ExtensionPoint;
import io.lavenderroad.node.BackendRegistration;
import io.lavenderroad.node.CallDialect;

/**
 * HTTP interface of a node for its callers, for a backend server that announces itself,
 * and for readiness probes. Implementations only translate requests and answers; they
 * make no decisions.
 */
public interface NodeInterface {

	/**
	 * Extension point of node interfaces. The name of the extension is the value of the
	 * key {@code interface} in the settings.
	 */
	ExtensionPoint<NodeInterface> EXTENSION_POINT = new ExtensionPoint<>("node interface", NodeInterface.class);

	/**
	 * Returns the form in which callers and the backend server state the attributes of a
	 * call.
	 * @return the dialect
	 */
	CallDialect dialect();

	/**
	 * Creates the pages on which the backend server announces itself.
	 * @param registration receives its announcements
	 * @return handlers by path
	 */
	Map<String, HttpHandler> announcementPages(BackendRegistration registration);

	/**
	 * Creates the pages that report whether the node is ready.
	 * @param readiness reports whether callers may use the node
	 * @return handlers by path
	 */
	Map<String, HttpHandler> readinessPages(Readiness readiness);

	/**
	 * Reports whether a node is ready.
	 */
	@FunctionalInterface
	interface Readiness {

		/**
		 * Returns whether callers may use the node.
		 * @return false before its configuration is confirmed and during its shutdown
		 */
		boolean isReady();

	}

}
