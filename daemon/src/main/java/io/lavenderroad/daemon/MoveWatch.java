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
 * Runs the comparison of a single node for each active move. Called by one task only.
 */
final class MoveWatch implements LocalWithdrawal {

	private static final double WINDOW_SECONDS = 1.0;

	private final Map<String, LocalComparison> comparisons = new HashMap<>();

	private final Map<String, String> moveByService = new HashMap<>();

	@Override
	public boolean withdraw(ServiceConfiguration service, Evidence recent, Evidence total, long nowMillis) {
		MoveParameters move = service.move().orElseThrow();
		String previousMove = this.moveByService.put(service.name(), move.id());
		if (previousMove != null && !previousMove.equals(move.id())) {
			this.comparisons.remove(previousMove);
		}
		LocalComparison comparison = this.comparisons.computeIfAbsent(move.id(), (id) -> LocalComparison
			.start(service.name(), move, service.routes().stream().map(Route::name).toList(), nowMillis));
		WindowConditions conditions = new WindowConditions(WINDOW_SECONDS, false, refusesBoth(service, move, recent));
		int share = service.split().getOrDefault(move.to(), 0);
		LocalComparison next = comparison.plus(recent.observations(), conditions, share);
		this.comparisons.put(move.id(), next);
		return next.shouldStop();
	}

	private static boolean refusesBoth(ServiceConfiguration service, MoveParameters move, Evidence recent) {
		return refuses(service.name(), move.from(), recent) && refuses(service.name(), move.to(), recent);
	}

	private static boolean refuses(String service, String version, Evidence recent) {
		return recent.observations()
			.entrySet()
			.stream()
			.anyMatch((entry) -> entry.getKey().service().equals(service) && entry.getKey().version().equals(version)
					&& entry.getValue().refusals() > 0);
	}

}
