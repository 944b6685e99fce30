package io.lavenderroad.daemon;

import java.util.Map;

import com.sun.net.httpserver.HttpHandler;
import io.lavenderroad.control.state.DeclarationService;
import io.lavenderroad.control.state.MoveOrders;
import io.lavenderroad.core.kernel.ExtensionPoint;

/**
 * Pages of a control member besides the operators' own API. An interface translates and
 * decides nothing.
 */
@FunctionalInterface
public interface ControlInterface {

	/**
	 * Where plug-ins register interfaces. The name is the value of the key
	 * {@code interface} in the settings.
	 */
	ExtensionPoint<ControlInterface> POINT = new ExtensionPoint<>("control interface", ControlInterface.class);

	/**
	 * Creates the pages.
	 * @param declarations accepts whole configurations
	 * @param moves accepts orders for moves
	 * @return handlers by path
	 */
	Map<String, HttpHandler> pages(DeclarationService declarations, MoveOrders moves);

}
