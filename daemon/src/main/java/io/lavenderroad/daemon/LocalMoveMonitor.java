package io.lavenderroad.daemon;

import java.util.HashMap;
import java.util.Map;

import io.lavenderroad.model.Evidence;
import io.lavenderroad.model.MoveParameters;
import io.lavenderroad.model.Route;
import io.lavenderroad.model.ServiceConfiguration;
import io.lavenderroad.node.LocalWithdrawal;
import io.lavenderroad.policy.moves.LocalComparison;
import io.lavenderroad.policy.moves.WindowConditions;

/**
 * Compares the two versions of each active move using the observations of this node
 * alone. Not thread-safe: a single task calls it.
 */
final class LocalMoveMonitor implements LocalWithdrawal {

	private static final double WINDOW_SECONDS = 1.0;

	private final Map<String, LocalComparison> comparisons = new HashMap<>();

	private final Map<String, String> moveIdByService = new HashMap<>();

	@Override
	public boolean withdraw(ServiceConfiguration service, Evidence recent, Evidence total, long nowMillis) {
		MoveParameters move = service.move().orElseThrow();
		String previousMoveId = this.moveIdByService.put(service.name(), move.id());
		if (previousMoveId != null && !previousMoveId.equals(move.id())) {
			this.comparisons.remove(previousMoveId);
		}
		LocalComparison comparison = this.comparisons.computeIfAbsent(move.id(), (id) -> LocalComparison
			.start(service.name(), move, service.routes().stream().map(Route::name).toList(), nowMillis));
		WindowConditions conditions = new WindowConditions(WINDOW_SECONDS, false,
				bothVersionsRefuse(service, move, recent));
		int share = service.split().getOrDefault(move.to(), 0);
		LocalComparison next = comparison.plus(recent.observations(), conditions, share);
		this.comparisons.put(move.id(), next);
		return next.shouldStop();
	}

	private static boolean bothVersionsRefuse(ServiceConfiguration service, MoveParameters move, Evidence recent) {
		return versionRefuses(service.name(), move.from(), recent) && versionRefuses(service.name(), move.to(), recent);
	}

	private static boolean versionRefuses(String service, String version, Evidence recent) {
		return recent.observations()
			.entrySet()
			.stream()
			.anyMatch((entry) -> entry.getKey().service().equals(service) && entry.getKey().version().equals(version)
					&& entry.getValue().refusals() > 0);
	}

}
