package io.lavenderroad.node;

import java.util.Optional;
import java.util.random.RandomGenerator;

import io.lavenderroad.core.http.HttpAuthority;
import io.lavenderroad.model.CallRules;
import io.lavenderroad.model.HostRoute;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.RouteTable;
import io.lavenderroad.model.ServiceConfiguration;
import io.lavenderroad.node.http.IncomingRequest;
import io.lavenderroad.policy.calls.ServiceChoice;
import io.vavr.control.Either;

/**
 * Finds service and rules of a request in one configuration. Routes by host take
 * precedence; a host without such routes, or a service that the request names, selects
 * the routes of one service.
 *
 * @param configuration the configuration
 * @param localService service of the local backend server
 * @param random source of randomness
 */
record RouteSearch(MeshConfiguration configuration, String localService, RandomGenerator random) {

	/**
	 * Finds the target of a request.
	 * @param request the request
	 * @param service service that the request names, empty if the host decides
	 * @return the target, or why there is none
	 */
	Either<String, Target> find(IncomingRequest request, String service) {
		if (!service.isEmpty()) {
			return byService(request, service);
		}
		RouteTable table = this.configuration.routes().table();
		Optional<HttpAuthority> authority = request.authority();
		if (authority.filter(table::containsHost).isPresent()) {
			return authority.flatMap((named) -> table.find(named, request.path()))
				.flatMap(this::byHost)
				.<Either<String, Target>>map(Either::right)
				.orElseGet(() -> Either.left("no route for " + authority.get() + request.path()));
		}
		return byService(request, authority.map(HttpAuthority::host).map(RouteSearch::firstLabel).orElse(""));
	}

	private Optional<Target> byHost(HostRoute route) {
		return ServiceChoice.draw(route.weights(), this.random)
			.flatMap(this.configuration::service)
			.map((service) -> new Target(service, route.rules(), route.allowsAnonymous()));
	}

	private Either<String, Target> byService(IncomingRequest request, String name) {
		Optional<ServiceConfiguration> service = this.configuration.service(name);
		if (service.isEmpty()) {
			return Either.left("no service '" + name + "'");
		}
		if (!mayCall(request, service.get())) {
			return Either.left("service '" + name + "' is not open to outside callers");
		}
		// A service that only the local backend server may call needs no key.
		return service.get()
			.route(request.method(), request.path())
			.<Either<String, Target>>map(
					(route) -> Either.right(new Target(service.get(), route.rules(), !service.get().openToCallers())))
			.orElseGet(() -> Either.left("no route of " + name + " for " + request.method() + " " + request.path()));
	}

	// Services that are not open to callers may only be called by the local backend
	// server, and only if its service is configured to call them.
	private boolean mayCall(IncomingRequest request, ServiceConfiguration service) {
		if (service.openToCallers()) {
			return true;
		}
		boolean sameVm = request.remoteAddress().isLoopbackAddress()
				|| request.remoteAddress().equals(request.localAddress());
		return sameVm && this.configuration.service(this.localService)
			.map((local) -> local.calls().contains(service.name()))
			.orElse(false);
	}

	private static String firstLabel(String host) {
		int end = host.indexOf('.');
		return (end < 0) ? host : host.substring(0, end);
	}

	/**
	 * Service and rules that apply to a request.
	 *
	 * @param service the service
	 * @param rules rules of the route
	 * @param allowsAnonymous whether callers need no access key
	 */
	record Target(ServiceConfiguration service, CallRules rules, boolean allowsAnonymous) {

	}

}
