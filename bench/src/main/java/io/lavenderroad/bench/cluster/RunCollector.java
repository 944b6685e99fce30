package io.lavenderroad.bench.cluster;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

import io.lavenderroad.bench.history.HistoryEvent;
import io.lavenderroad.core.Clock;

/**
 * Adds to a history what can only be read at the end of a run: the history of the control
 * group and the records of the stand-ins.
 */
public final class RunCollector {

	private static final int MOST_HISTORY = 10_000;

	private RunCollector() {
	}

	/**
	 * Reads everything that is reachable.
	 * @param cluster the deployment
	 * @param client reads from control members and stand-ins
	 * @param keyOf gives the idempotency key of a call id, empty for none
	 * @param history receives the events
	 * @param clock clock of the history
	 * @return true if the history of the control group could be read
	 */
	public static boolean collect(ProcessCluster cluster, OperatorClient client, UnaryOperator<String> keyOf,
			Consumer<HistoryEvent> history, Clock clock) {
		for (String id : cluster.ids(false)) {
			client.get(cluster.backendAddress(id), "/record")
				.ifPresent((record) -> addRuns(id, record, keyOf, history, clock));
		}
		return client.get("/v1/history?limit=" + MOST_HISTORY).map((document) -> {
			for (Object item : (List<?>) document.get("history")) {
				Map<?, ?> entry = (Map<?, ?>) item;
				String changeId = "change".equals(entry.get("kind")) ? String.valueOf(entry.get("id")) : "";
				history.accept(new HistoryEvent.VersionRecorded(clock.millis(),
						((Number) entry.get("version")).longValue(), changeId));
			}
			return true;
		}).orElse(false);
	}

	private static void addRuns(String backendId, Map<String, Object> record, UnaryOperator<String> keyOf,
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
