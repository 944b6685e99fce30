package io.lavenderroad.model.rendering;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.lavenderroad.core.settings.YamlNode;
import io.lavenderroad.model.Route;
import io.lavenderroad.model.ServiceConfiguration;
import io.lavenderroad.model.ServiceLimits;

/**
 * Service as a template declares it.
 *
 * @param name name of the structure
 * @param openToCallers whether callers outside the mesh may use the service
 * @param calls services that it calls
 * @param queueLength maximum number of requests that wait for a slot
 * @param customerShare maximum share of one customer
 * @param retryBudget retries allowed per call
 * @param routes routes in matching order: the first match wins
 * @param current version that serves if a team sets none
 * @param move defaults for moves
 * @param references names of the parameters that the structure refers to
 */
record ServiceStructure(String name, TemplateField<Boolean> openToCallers,
		@SuppressWarnings("rawtypes") TemplateField<List> calls, TemplateField<Integer> queueLength,
		TemplateField<Integer> customerShare, TemplateField<Integer> retryBudget, List<RouteStructure> routes,
		TemplateField<String> current, MoveStructure move, Set<String> references) {

	private static final Optional<Range> QUEUE_LENGTH = Optional.of(new Range(0, 10_000));

	static ServiceStructure read(String name, YamlNode node, Map<String, ParameterDeclaration> declarations) {
		ParameterScope scope = new ParameterScope(declarations);
		YamlNode limits = node.child("limits");
		ServiceStructure structure = new ServiceStructure(name,
				TemplateField.read(node.child("open-to-callers"), ParameterType.BOOLEAN, Optional.empty(), scope),
				TemplateField.read(node.child("calls"), ParameterType.LIST, Optional.empty(), scope),
				TemplateField.read(limits.child("queue-length"), ParameterType.INTEGER, QUEUE_LENGTH, scope),
				TemplateField.read(limits.child("customer-share"), ParameterType.SHARE, Optional.empty(), scope),
				TemplateField.read(limits.child("retry-budget"), ParameterType.SHARE, Optional.empty(), scope),
				readRoutes(node.child("routes"), scope),
				TemplateField.read(node.child("current"), ParameterType.VERSION, Optional.empty(), scope),
				MoveStructure.read(node.child("move"), scope), scope.references());
		limits.rejectUnknownKeys();
		node.rejectUnknownKeys();
		return structure;
	}

	@SuppressWarnings("unchecked")
	ServiceConfiguration.Builder resolve(String serviceName, Map<String, ParameterValue> values) {
		ServiceLimits defaults = ServiceLimits.DEFAULT;
		List<Route> resolved = this.routes.stream().map((route) -> route.resolve(values)).toList();
		return ServiceConfiguration.builder(serviceName)
			.openToCallers(this.openToCallers.resolve(values).orElse(false))
			.calls(this.calls.resolve(values).orElse(List.of()))
			.routes(resolved)
			.limits(new ServiceLimits(this.queueLength.resolve(values).orElse(defaults.queueLength()),
					this.customerShare.resolve(values).orElse(defaults.customerShareBasisPoints()),
					this.retryBudget.resolve(values).orElse(defaults.retryBudgetBasisPoints())));
	}

	private static List<RouteStructure> readRoutes(YamlNode node, ParameterScope scope) {
		List<RouteStructure> routes = new ArrayList<>();
		for (YamlNode item : node.items()) {
			RouteStructure route = RouteStructure.read(item, scope);
			for (RouteStructure earlier : routes) {
				if (earlier.name().equals(route.name())) {
					item.addProblem("route '" + route.name() + "' a second time", "each route name once in a service");
				}
				else if (earlier.shadows(route)) {
					item.addProblem(
							"route '" + route.name() + "', which the earlier route '" + earlier.name() + "' hides",
							"the more specific route first");
				}
			}
			routes.add(route);
		}
		if (routes.isEmpty() && !node.isPresent()) {
			node.addProblem("nothing", "a list with at least one route");
		}
		else if (routes.isEmpty() && node.isSequence()) {
			node.addProblem("an empty list", "a list with at least one route");
		}
		return routes;
	}

}
