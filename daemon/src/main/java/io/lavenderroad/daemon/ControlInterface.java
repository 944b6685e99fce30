package io.lavenderroad.daemon;

import java.util.Map;

import com.sun.net.httpserver.HttpHandler;
import io.lavenderroad.control.state.DeclarationService;
import io.lavenderroad.control.state.EvacuationOrders;
import io.lavenderroad.control.state.MoveOrders;
import io.lavenderroad.core.kernel.ExtensionPoint;

/**
 * Additional HTTP pages of a control member, besides the operators' API. Implementations
 * only translate requests and answers; they make no decisions.
 */
@FunctionalInterface
public interface ControlInterface {

	/**
	 * Extension point of control interfaces. The name of the extension is the value of
	 * the key {@code interface} in the settings.
	 */
	ExtensionPoint<ControlInterface> EXTENSION_POINT = new ExtensionPoint<>("control interface",
			ControlInterface.class);

	/**
	 * Creates the pages.
	 * @param declarations accepts complete configurations
	 * @param moves accepts commands for moves
	 * @param evacuations accepts orders to evacuate failure domains
	 * @return handlers by path
	 */
	Map<String, HttpHandler> pages(DeclarationService declarations, MoveOrders moves, EvacuationOrders evacuations);

}
