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
 * Difference between two configurations as an operator needs it before applying a change.
 *
 * @param servicesAdded names of the new services
 * @param servicesRemoved names of the removed services
 * @param servicesModified services whose routes or settings differ
 * @param sharesChanged services whose traffic changes as soon as the change is active
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
	 * Tells whether the configurations are equal for nodes.
	 * @return true if nothing is listed
	 */
	public boolean isEmpty() {
		return this.servicesAdded.isEmpty() && this.servicesRemoved.isEmpty() && this.servicesModified.isEmpty()
				&& this.sharesChanged.isEmpty() && this.movesStarted.isEmpty() && this.movesEnded.isEmpty();
	}

	/**
	 * Describes the difference in short lines.
	 * @return one line for each item
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
	 * Traffic of a service that changes as soon as a change is active.
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
	 * @param move the move
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
	 * @param move the move
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
			ServiceDifference difference = compareRoutes(before, after);
			if (!difference.isEmpty()) {
				this.modified.add(difference);
			}
			if (!before.split().equals(after.split())) {
				this.shares.add(new ShareChange(before.name(), before.split(), after.split()));
			}
		}

		private void compareMoves(ServiceConfiguration before, ServiceConfiguration after) {
			MoveParameters old = (before != null) ? before.move().orElse(null) : null;
			MoveParameters present = (after != null) ? after.move().orElse(null) : null;
			String oldId = (old != null) ? old.id() : null;
			String presentId = (present != null) ? present.id() : null;
			if (Objects.equals(oldId, presentId)) {
				return;
			}
			if (old != null) {
				this.ended.add(new EndedMove(before.name(), old));
			}
			if (present != null) {
				this.started.add(new StartedMove(after.name(), present));
			}
		}

		private static ServiceDifference compareRoutes(ServiceConfiguration before, ServiceConfiguration after) {
			Map<String, Route> old = byName(before);
			Map<String, Route> present = byName(after);
			List<String> routesAdded = present.keySet().stream().filter((name) -> !old.containsKey(name)).toList();
			List<String> routesRemoved = old.keySet().stream().filter((name) -> !present.containsKey(name)).toList();
			List<String> routesModified = new ArrayList<>();
			old.forEach((name, route) -> {
				Route other = present.get(name);
				if (other != null && !other.equals(route)) {
					routesModified.add(name + ": " + String.join(", ", describe(route, other)));
				}
			});
			return new ServiceDifference(before.name(), routesAdded, routesRemoved, routesModified,
					compareSettings(before, after, old.keySet().equals(present.keySet())));
		}

		private static List<String> describe(Route before, Route after) {
			List<String> texts = new ArrayList<>();
			add(texts, "method", before, after, Route::method);
			add(texts, "path prefix", before, after, Route::pathPrefix);
			add(texts, "idempotent", before, after, Route::idempotent);
			add(texts, "timeout", before, after, (route) -> route.timeoutMillis() + " ms");
			add(texts, "largest body", before, after, (route) -> route.largestBodyBytes() + " bytes");
			return texts;
		}

		private static List<String> compareSettings(ServiceConfiguration before, ServiceConfiguration after,
				boolean sameRouteNames) {
			List<String> texts = new ArrayList<>();
			add(texts, "team", before, after, ServiceConfiguration::team);
			add(texts, "open to callers", before, after, ServiceConfiguration::openToCallers);
			add(texts, "calls", before, after, ServiceConfiguration::calls);
			add(texts, "versions", before, after, ServiceConfiguration::versions);
			add(texts, "queue length", before, after, (service) -> service.limits().queueLength());
			add(texts, "customer share", before, after,
					(service) -> ParameterType.percent(service.limits().customerShareBasisPoints()));
			add(texts, "retry budget", before, after,
					(service) -> ParameterType.percent(service.limits().retryBudgetBasisPoints()));
			if (sameRouteNames) {
				add(texts, "order of routes", before, after,
						(service) -> service.routes().stream().map(Route::name).toList());
			}
			if (sameMove(before, after)) {
				add(texts, "deadline of the move", before, after,
						(service) -> service.move()
							.map((move) -> Instant.ofEpochMilli(move.deadlineMillis()).toString())
							.orElse(""));
				add(texts, "thin evidence", before, after,
						(service) -> service.move().map((move) -> move.thinEvidence().name()).orElse(""));
				add(texts, "policy of the move", before, after,
						(service) -> service.move().map(MoveParameters::policy).orElse(""));
			}
			return texts;
		}

		private static boolean sameMove(ServiceConfiguration before, ServiceConfiguration after) {
			return before.move().isPresent()
					&& before.move().map(MoveParameters::id).equals(after.move().map(MoveParameters::id));
		}

		private static <T> void add(List<String> texts, String label, T before, T after, Function<T, Object> value) {
			Object old = value.apply(before);
			Object present = value.apply(after);
			if (!old.equals(present)) {
				texts.add(label + " " + old + " -> " + present);
			}
		}

		private static Map<String, Route> byName(ServiceConfiguration service) {
			Map<String, Route> routes = new TreeMap<>();
			service.routes().forEach((route) -> routes.put(route.name(), route));
			return routes;
		}

	}

}
