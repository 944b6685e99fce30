package io.lavenderroad.bench.load;

import java.util.Map;
import java.util.TreeMap;

/**
 * Results of a load as seen by its callers.
 *
 * @param calls number of calls, including those without an answer
 * @param byVerdict calls by verdict, {@code none} if the node gave no answer
 * @param byStatus calls by HTTP status
 * @param byReason refused and failed calls by the reason given by the node
 * @param byVersion calls by service and version that answered
 * @param p50Millis median latency
 * @param p99Millis latency at the 99th percentile
 */
public record LoadReport(long calls, Map<String, Long> byVerdict, Map<Integer, Long> byStatus,
		Map<String, Long> byReason, Map<String, Long> byVersion, double p50Millis, double p99Millis) {

	public LoadReport {
		byVerdict = new TreeMap<>(byVerdict);
		byStatus = new TreeMap<>(byStatus);
		byReason = new TreeMap<>(byReason);
		byVersion = new TreeMap<>(byVersion);
	}

	/**
	 * Returns the number of calls that a version answered.
	 * @param service name of the service
	 * @param version backend server version
	 * @return count
	 */
	public long answeredBy(String service, String version) {
		return this.byVersion.getOrDefault(service + " " + version, 0L);
	}

	@Override
	public String toString() {
		return String.format("%d calls, verdicts %s, statuses %s, reasons %s, versions %s, p50 %.1f ms, p99 %.1f ms",
				this.calls, this.byVerdict, this.byStatus, this.byReason, this.byVersion, this.p50Millis,
				this.p99Millis);
	}

}
