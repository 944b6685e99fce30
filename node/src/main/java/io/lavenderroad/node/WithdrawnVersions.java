package io.lavenderroad.node;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

import io.lavenderroad.model.Evidence;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.MoveParameters;
import io.lavenderroad.model.ObservationKey;
import io.lavenderroad.model.Observations;
import io.lavenderroad.model.ServiceConfiguration;
import org.tinylog.Logger;

/**
 * The moves whose new version this node has stopped using on its own evidence.
 */
final class WithdrawnVersions {

	private final LocalWithdrawal withdrawal;

	/**
	 * Watched moves by service.
	 */
	private final Map<String, WatchedMove> moves = new ConcurrentHashMap<>();

	WithdrawnVersions(LocalWithdrawal withdrawal) {
		this.withdrawal = withdrawal;
	}

	/**
	 * Asks for each active move.
	 * @param configuration configuration in force
	 * @param recent observations since the last call
	 * @param nowMillis clock reading in milliseconds
	 */
	void evaluate(MeshConfiguration configuration, Evidence recent, long nowMillis) {
		this.moves.keySet()
			.removeIf((name) -> configuration.service(name).flatMap(ServiceConfiguration::move).isEmpty());
		for (ServiceConfiguration service : configuration.services().values()) {
			service.move().ifPresent((move) -> evaluate(service, move, recent, nowMillis));
		}
	}

	/**
	 * Returns the split that this node uses.
	 * @param service the service
	 * @return share of each version in 1/10,000
	 */
	Map<String, Integer> split(ServiceConfiguration service) {
		WatchedMove watched = this.moves.get(service.name());
		if (watched == null || !watched.withdrawn || service.move().isEmpty()
				|| !service.move().get().id().equals(watched.move.id())) {
			return service.split();
		}
		Map<String, Integer> split = new TreeMap<>(service.split());
		Integer share = split.put(watched.move.to(), 0);
		split.merge(watched.move.from(), (share != null) ? share : 0, Integer::sum);
		return split;
	}

	private void evaluate(ServiceConfiguration service, MoveParameters move, Evidence recent, long nowMillis) {
		WatchedMove watched = this.moves.get(service.name());
		if (watched == null || !watched.move.id().equals(move.id())) {
			watched = new WatchedMove(move);
			this.moves.put(service.name(), watched);
		}
		Evidence own = of(service.name(), recent);
		watched.total = watched.total.plus(own);
		if (!watched.withdrawn && this.withdrawal.withdraw(service, own, watched.total, nowMillis)) {
			watched.withdrawn = true;
			Logger.warn("node: Stopped sending calls to {} {} on own observations of move {}.", service.name(),
					move.to(), move.id());
		}
	}

	private static Evidence of(String service, Evidence evidence) {
		Map<ObservationKey, Observations> selected = new TreeMap<>();
		evidence.observations().forEach((key, value) -> {
			if (key.service().equals(service)) {
				selected.put(key, value);
			}
		});
		return Evidence.of(selected);
	}

	private static final class WatchedMove {

		private final MoveParameters move;

		private Evidence total = Evidence.NONE;

		private volatile boolean withdrawn;

		private WatchedMove(MoveParameters move) {
			this.move = move;
		}

	}

}
