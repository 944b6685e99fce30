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
 * New versions of moves that this node has withdrawn locally, on evidence from its own
 * calls.
 */
final class WithdrawnVersions {

	private final LocalWithdrawal withdrawal;

	/**
	 * Active moves by service.
	 */
	private final Map<String, TrackedMove> moves = new ConcurrentHashMap<>();

	WithdrawnVersions(LocalWithdrawal withdrawal) {
		this.withdrawal = withdrawal;
	}

	/**
	 * Evaluates each active move and withdraws its new version if the evidence requires
	 * it.
	 * @param configuration active configuration
	 * @param recent observations since the last evaluation
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
	 * Returns the traffic split that this node uses: the configured one, with the share
	 * of a locally withdrawn version moved back to the old version.
	 * @param service the service
	 * @return share of each version in 1/10,000
	 */
	Map<String, Integer> split(ServiceConfiguration service) {
		TrackedMove tracked = this.moves.get(service.name());
		if (tracked == null || !tracked.withdrawn || service.move().isEmpty()
				|| !service.move().get().id().equals(tracked.move.id())) {
			return service.split();
		}
		Map<String, Integer> split = new TreeMap<>(service.split());
		Integer share = split.put(tracked.move.to(), 0);
		split.merge(tracked.move.from(), (share != null) ? share : 0, Integer::sum);
		return split;
	}

	private void evaluate(ServiceConfiguration service, MoveParameters move, Evidence recent, long nowMillis) {
		TrackedMove tracked = this.moves.get(service.name());
		if (tracked == null || !tracked.move.id().equals(move.id())) {
			tracked = new TrackedMove(move);
			this.moves.put(service.name(), tracked);
		}
		Evidence selected = evidenceOf(service.name(), recent);
		tracked.total = tracked.total.plus(selected);
		if (!tracked.withdrawn && this.withdrawal.withdraw(service, selected, tracked.total, nowMillis)) {
			tracked.withdrawn = true;
			Logger.warn("node: Withdrew {} {} locally on observations of this node during move {}.", service.name(),
					move.to(), move.id());
		}
	}

	private static Evidence evidenceOf(String service, Evidence evidence) {
		Map<ObservationKey, Observations> observations = new TreeMap<>();
		evidence.observations().forEach((key, value) -> {
			if (key.service().equals(service)) {
				observations.put(key, value);
			}
		});
		return Evidence.of(observations);
	}

	private static final class TrackedMove {

		private final MoveParameters move;

		private Evidence total = Evidence.NONE;

		private volatile boolean withdrawn;

		private TrackedMove(MoveParameters move) {
			this.move = move;
		}

	}

}
