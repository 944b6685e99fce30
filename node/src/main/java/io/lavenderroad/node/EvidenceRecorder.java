package io.lavenderroad.node;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.model.Evidence;
import io.lavenderroad.model.LatencyHistogram;
import io.lavenderroad.model.ObservationKey;
import io.lavenderroad.model.Observations;

/**
 * Counts the outcomes and latencies of attempts as callers observe them. Each observation
 * is returned exactly once.
 */
final class EvidenceRecorder {

	private final Map<ObservationKey, Counts> counts = new ConcurrentHashMap<>();

	/**
	 * Records one attempt.
	 * @param key service, route and version
	 * @param answer the outcome
	 * @param elapsedMillis latency of the attempt
	 */
	void record(ObservationKey key, CallAnswer answer, double elapsedMillis) {
		while (!this.counts.computeIfAbsent(key, (name) -> new Counts()).add(answer, elapsedMillis)) {
			// These counts were retired concurrently; the next lookup creates new ones.
			Thread.onSpinWait();
		}
	}

	/**
	 * Returns the observations since the last call and resets the counts.
	 * @return the evidence
	 */
	Evidence take() {
		Map<ObservationKey, Observations> taken = new TreeMap<>();
		this.counts.forEach((key, value) -> {
			Observations observations = value.take();
			if (observations != Observations.NONE) {
				taken.put(key, observations);
			}
			else if (value.retire()) {
				this.counts.remove(key, value);
			}
		});
		return taken.isEmpty() ? Evidence.NONE : Evidence.of(taken);
	}

	private static final class Counts {

		private long calls;

		private long errors;

		private long refusals;

		private final long[] latencies = new long[LatencyHistogram.BUCKETS];

		private boolean retired;

		private synchronized boolean add(CallAnswer answer, double elapsedMillis) {
			if (this.retired) {
				return false;
			}
			if (answer.verdict() == ExecutionVerdict.NOT_RUN) {
				this.refusals++;
				return true;
			}
			this.calls++;
			this.errors += answer.isError() ? 1 : 0;
			this.latencies[LatencyHistogram.bucketOf(elapsedMillis)]++;
			return true;
		}

		private synchronized Observations take() {
			if (this.calls == 0 && this.refusals == 0) {
				return Observations.NONE;
			}
			Observations taken = new Observations(this.calls, this.errors, this.refusals,
					LatencyHistogram.of(this.latencies));
			this.calls = 0;
			this.errors = 0;
			this.refusals = 0;
			Arrays.fill(this.latencies, 0);
			return taken;
		}

		// Retires empty counts, so that removed routes and versions use no memory.
		private synchronized boolean retire() {
			this.retired = this.calls == 0 && this.refusals == 0;
			return this.retired;
		}

	}

}
