package io.lavenderroad.bench.cluster;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

import io.lavenderroad.bench.history.HistoryEvent;
import io.lavenderroad.core.Clock;

/**
 * Completes a history with the data that is available only at the end of a run: the
 * history of the control group and the run records of the stub backend servers.
 */
public final class HistoryCollector {

	private static final int MAXIMUM_HISTORY_ENTRIES = 10_000;

	private HistoryCollector() {
	}

	/**
	 * Reads the records of all processes that are reachable.
	 * @param cluster the deployment
	 * @param client reads from control members and stub backend servers
	 * @param keyOf maps a call id to its idempotency key, empty for none
	 * @param history receives the events
	 * @param clock clock of the history
	 * @return true if the history of the control group could be read
	 */
	public static boolean collect(ProcessCluster cluster, OperatorClient client, UnaryOperator<String> keyOf,
			Consumer<HistoryEvent> history, Clock clock) {
		for (String id : cluster.ids(false)) {
			client.get(cluster.backendAddress(id), "/record")
				.ifPresent((record) -> addCallRuns(id, record, keyOf, history, clock));
		}
		return client.get("/v1/history?limit=" + MAXIMUM_HISTORY_ENTRIES).map((document) -> {
			for (Object item : (List<?>) document.get("history")) {
				Map<?, ?> entry = (Map<?, ?>) item;
				String changeId = "change".equals(entry.get("kind")) ? String.valueOf(entry.get("id")) : "";
				history.accept(new HistoryEvent.VersionRecorded(clock.millis(),
						((Number) entry.get("version")).longValue(), changeId));
			}
			return true;
		}).orElse(false);
	}

	private static void addCallRuns(String backendId, Map<String, Object> record, UnaryOperator<String> keyOf,
			Consumer<HistoryEvent> history, Clock clock) {
		Map<?, ?> starts = (Map<?, ?>) record.get("starts");
		starts.forEach((id, count) -> {
			String callId = String.valueOf(id);
			for (int run = 0; run < ((Number) count).intValue(); run++) {
				history.accept(new HistoryEvent.CallRan(clock.millis(), callId, keyOf.apply(callId), backendId));
			}
		});
	}

}
