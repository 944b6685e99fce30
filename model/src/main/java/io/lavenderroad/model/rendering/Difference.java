package io.lavenderroad.model.rendering;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;

import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.MoveParameters;
import io.lavenderroad.model.Route;
import io.lavenderroad.model.ServiceConfiguration;

/**
 * Difference between two configurations, shown to an operator before a change is applied.
 *
 * @param servicesAdded names of the new services
 * @param servicesRemoved names of the removed services
 * @param servicesModified services whose routes or settings differ
 * @param sharesChanged services whose traffic split changes as soon as the change is
 * active
 * @param movesStarted moves that start with the change
 * @param movesEnded moves that the change ends
 */
public record Difference(List<String> servicesAdded, List<String> servicesRemoved,
		List<ServiceDifference> servicesModified, List<ShareChange> sharesChanged, List<StartedMove> movesStarted,
		List<EndedMove> movesEnded) {

	public Difference {
		servicesAdded = List.copyOf(servicesAdded);
		servicesRemoved = List.copyOf(servicesRemoved);
		servicesModified = List.copyOf(servicesModified);
		sharesChanged = List.copyOf(sharesChanged);
		movesStarted = List.copyOf(movesStarted);
		movesEnded = List.copyOf(movesEnded);
	}

	/**
	 * Compares two configurations.
	 * @param before the configuration before the change
	 * @param after the configuration after the change
	 * @return the difference
	 */
	public static Difference between(MeshConfiguration before, MeshConfiguration after) {
		Builder builder = new Builder();
		TreeSet<String> names = new TreeSet<>(before.services().keySet());
		names.addAll(after.services().keySet());
		for (String name : names) {
			builder.compare(before.service(name).orElse(null), after.service(name).orElse(null));
		}
		return new Difference(builder.added, builder.removed, builder.modified, builder.shares, builder.started,
				builder.ended);
	}

	/**
	 * Returns whether no difference was found that matters to nodes.
	 * @return true if nothing is listed
	 */
	public boolean isEmpty() {
		return this.servicesAdded.isEmpty() && this.servicesRemoved.isEmpty() && this.servicesModified.isEmpty()
				&& this.sharesChanged.isEmpty() && this.movesStarted.isEmpty() && this.movesEnded.isEmpty();
	}

	/**
	 * Formats the difference as text.
	 * @return one line for each added, removed or modified item
	 */
	public List<String> lines() {
		List<String> lines = new ArrayList<>();
		this.servicesAdded.forEach((name) -> lines.add("service " + name + " added"));
		this.servicesRemoved.forEach((name) -> lines.add("service " + name + " removed"));
		for (ServiceDifference service : this.servicesModified) {
			String prefix = "service " + service.service() + ": ";
			service.routesAdded().forEach((route) -> lines.add(prefix + "route " + route + " added"));
			service.routesRemoved().forEach((route) -> lines.add(prefix + "route " + route + " removed"));
			service.routesModified().forEach((text) -> lines.add(prefix + "route " + text));
			service.settingsModified().forEach((text) -> lines.add(prefix + text));
		}
		this.movesStarted.forEach((move) -> lines.add(move.toString()));
		this.movesEnded.forEach((move) -> lines.add(move.toString()));
		this.sharesChanged.forEach((share) -> lines.add(share.toString()));
		return lines;
	}

	private static String percentages(Map<String, Integer> split) {
		List<String> shares = new ArrayList<>();
		split.forEach((version, share) -> shares.add(version + " " + ParameterType.percent(share)));
		return String.join(", ", shares);
	}

	/**
	 * Traffic split of a service that changes as soon as a change is active.
	 *
	 * @param service name of the service
	 * @param before share of each version before the change, in 1/10,000
	 * @param after share of each version after the change, in 1/10,000
	 */
	public record ShareChange(String service, Map<String, Integer> before, Map<String, Integer> after) {

		@Override
		public String toString() {
			return "service " + this.service + ": traffic " + percentages(this.before) + " -> "
					+ percentages(this.after) + " at once";
		}

	}

	/**
	 * Move that starts with a change.
	 *
	 * @param service name of the service
	 * @param move parameters of the move
	 */
	public record StartedMove(String service, MoveParameters move) {

		@Override
		public String toString() {
			return "service " + this.service + ": move from " + this.move.from() + " to " + this.move.to()
					+ " starts; deadline " + Instant.ofEpochMilli(this.move.deadlineMillis()) + ", policy "
					+ this.move.policy() + ", thin evidence: "
					+ this.move.thinEvidence().name().toLowerCase(Locale.ROOT) + "; " + this.move.from()
					+ " keeps the traffic until the first step";
		}

	}

	/**
	 * Move that a change ends.
	 *
	 * @param service name of the service
	 * @param move parameters of the move
	 */
	public record EndedMove(String service, MoveParameters move) {

		@Override
		public String toString() {
			return "service " + this.service + ": move " + this.move.id() + " from " + this.move.from() + " to "
					+ this.move.to() + " ends";
		}

	}

	private static final class Builder {

		private final List<String> added = new ArrayList<>();

		private final List<String> removed = new ArrayList<>();

		private final List<ServiceDifference> modified = new ArrayList<>();

		private final List<ShareChange> shares = new ArrayList<>();

		private final List<StartedMove> started = new ArrayList<>();

		private final List<EndedMove> ended = new ArrayList<>();

		void compare(ServiceConfiguration before, ServiceConfiguration after) {
			compareMoves(before, after);
			if (before == null) {
				this.added.add(after.name());
				return;
			}
			if (after == null) {
				this.removed.add(before.name());
				return;
			}
			ServiceDifference difference = compareRoutesAndSettings(before, after);
			if (!difference.isEmpty()) {
				this.modified.add(difference);
			}
			if (!before.split().equals(after.split())) {
				this.shares.add(new ShareChange(before.name(), before.split(), after.split()));
			}
		}

		private void compareMoves(ServiceConfiguration before, ServiceConfiguration after) {
			MoveParameters oldMove = (before != null) ? before.move().orElse(null) : null;
			MoveParameters newMove = (after != null) ? after.move().orElse(null) : null;
			String oldId = (oldMove != null) ? oldMove.id() : null;
			String newId = (newMove != null) ? newMove.id() : null;
			if (Objects.equals(oldId, newId)) {
				return;
			}
			if (oldMove != null) {
				this.ended.add(new EndedMove(before.name(), oldMove));
			}
			if (newMove != null) {
				this.started.add(new StartedMove(after.name(), newMove));
			}
		}

		private static ServiceDifference compareRoutesAndSettings(ServiceConfiguration before,
				ServiceConfiguration after) {
			Map<String, Route> oldRoutes = byName(before);
			Map<String, Route> newRoutes = byName(after);
			List<String> routesAdded = newRoutes.keySet()
				.stream()
				.filter((name) -> !oldRoutes.containsKey(name))
				.toList();
			List<String> routesRemoved = oldRoutes.keySet()
				.stream()
				.filter((name) -> !newRoutes.containsKey(name))
				.toList();
			List<String> routesModified = new ArrayList<>();
			oldRoutes.forEach((name, oldRoute) -> {
				Route newRoute = newRoutes.get(name);
				if (newRoute != null && !newRoute.equals(oldRoute)) {
					routesModified.add(name + ": " + String.join(", ", describeChanges(oldRoute, newRoute)));
				}
			});
			return new ServiceDifference(before.name(), routesAdded, routesRemoved, routesModified,
					compareSettings(before, after, oldRoutes.keySet().equals(newRoutes.keySet())));
		}

		private static List<String> describeChanges(Route before, Route after) {
			List<String> changes = new ArrayList<>();
			addIfChanged(changes, "method", before, after, Route::method);
			addIfChanged(changes, "path prefix", before, after, Route::pathPrefix);
			addIfChanged(changes, "idempotent", before, after, Route::idempotent);
			addIfChanged(changes, "timeout", before, after, (route) -> route.timeoutMillis() + " ms");
			addIfChanged(changes, "largest body", before, after, (route) -> route.maximumBodyBytes() + " bytes");
			return changes;
		}

		private static List<String> compareSettings(ServiceConfiguration before, ServiceConfiguration after,
				boolean sameRouteNames) {
			List<String> changes = new ArrayList<>();
			addIfChanged(changes, "team", before, after, ServiceConfiguration::team);
			addIfChanged(changes, "open to callers", before, after, ServiceConfiguration::openToCallers);
			addIfChanged(changes, "calls", before, after, ServiceConfiguration::calls);
			addIfChanged(changes, "versions", before, after, ServiceConfiguration::versions);
			addIfChanged(changes, "queue length", before, after, (service) -> service.limits().queueLength());
			addIfChanged(changes, "customer share", before, after,
					(service) -> ParameterType.percent(service.limits().customerShareBasisPoints()));
			addIfChanged(changes, "retry budget", before, after,
					(service) -> ParameterType.percent(service.limits().retryBudgetBasisPoints()));
			if (sameRouteNames) {
				addIfChanged(changes, "order of routes", before, after,
						(service) -> service.routes().stream().map(Route::name).toList());
			}
			if (sameMove(before, after)) {
				addIfChanged(changes, "deadline of the move", before, after,
						(service) -> service.move()
							.map((move) -> Instant.ofEpochMilli(move.deadlineMillis()).toString())
							.orElse(""));
				addIfChanged(changes, "thin evidence", before, after,
						(service) -> service.move().map((move) -> move.thinEvidence().name()).orElse(""));
				addIfChanged(changes, "policy of the move", before, after,
						(service) -> service.move().map(MoveParameters::policy).orElse(""));
			}
			return changes;
		}

		private static boolean sameMove(ServiceConfiguration before, ServiceConfiguration after) {
			return before.move().isPresent()
					&& before.move().map(MoveParameters::id).equals(after.move().map(MoveParameters::id));
		}

		private static <T> void addIfChanged(List<String> changes, String label, T before, T after,
				Function<T, Object> value) {
			Object oldValue = value.apply(before);
			Object newValue = value.apply(after);
			if (!oldValue.equals(newValue)) {
				changes.add(label + " " + oldValue + " -> " + newValue);
			}
		}

		private static Map<String, Route> byName(ServiceConfiguration service) {
			Map<String, Route> routes = new TreeMap<>();
			service.routes().forEach((route) -> routes.put(route.name(), route));
			return routes;
		}

	}

}
