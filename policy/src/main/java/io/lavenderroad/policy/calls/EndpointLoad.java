package io.lavenderroad.policy.calls;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;

import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.EndpointState;

/**
 * Load and latency of one endpoint as observed by the node of a caller. Thread-safe;
 * values that are read may be a few calls old, which the balancing decisions tolerate.
 */
public final class EndpointLoad {

	private static final double LATENCY_WEIGHT = 0.1;

	private static final double ERROR_WEIGHT = 0.05;

	/**
	 * Half-life of the smoothed latency while there are no observations, so that an
	 * endpoint that was slow once is tried again.
	 */
	private static final double LATENCY_HALF_LIFE_MILLIS = 5_000;

	private static final double ERROR_HALF_LIFE_MILLIS = 5_000;

	/**
	 * Time for which a load that the endpoint reported with an answer is used.
	 */
	private static final long REPORT_VALIDITY_MILLIS = 1_000;

	/**
	 * Time for which a reported slowness is used. It changes many times a second, and an
	 * older one would direct calls by the past.
	 */
	private static final long SLOWNESS_VALIDITY_MILLIS = 200;

	/**
	 * Share of a cold endpoint without a recent report. It is above zero because a server
	 * without calls never warms up and shows nothing.
	 */
	static final double COLD_SHARE = 0.1;

	/**
	 * Smallest share of an endpoint that accepts work, for the same reason.
	 */
	private static final double MINIMUM_SHARE = 0.01;

	private static final int USUAL_SLOWNESS_PERCENT = 100;

	private final AtomicInteger inFlight = new AtomicInteger();

	private final AtomicInteger failedConnections = new AtomicInteger();

	private volatile Endpoint endpoint;

	private volatile double latencyMillis;

	private volatile double errorShare;

	private volatile long observedMillis;

	private volatile long avoidedUntilMillis = Long.MIN_VALUE;

	private volatile long fullUntilMillis = Long.MIN_VALUE;

	private volatile int fullFromPriority = Integer.MAX_VALUE;

	private volatile int reportedLoad;

	private volatile long reportedMillis = Long.MIN_VALUE / 2;

	private volatile double reportedServiceMillis;

	private volatile double reportedPace = 1;

	/**
	 * Whether the node of the endpoint limits its pace by its answers. Otherwise a cold
	 * endpoint gets its share by the time since its discovery.
	 */
	private volatile boolean paced = true;

	private volatile long discoveredMillis = Long.MIN_VALUE;

	private volatile int reportedSlownessPercent = USUAL_SLOWNESS_PERCENT;

	/**
	 * Creates the state of an endpoint without observations.
	 * @param endpoint the announced endpoint
	 */
	public EndpointLoad(Endpoint endpoint) {
		this.endpoint = endpoint;
	}

	/**
	 * Returns the latest announcement of the endpoint.
	 * @return the endpoint
	 */
	public Endpoint endpoint() {
		return this.endpoint;
	}

	/**
	 * Replaces the announcement by a newer one of the same incarnation.
	 * @param newer the newer announcement
	 */
	public void update(Endpoint newer) {
		this.endpoint = newer;
	}

	/**
	 * Replaces the announcement by a newer one of the same incarnation.
	 * @param newer the newer announcement
	 * @param nowMillis clock reading in milliseconds
	 * @param newPaced whether the service declares how its backend servers start, so that
	 * the node of the endpoint limits its pace
	 */
	public void update(Endpoint newer, long nowMillis, boolean newPaced) {
		this.endpoint = newer;
		this.paced = newPaced;
		if (this.discoveredMillis == Long.MIN_VALUE) {
			this.discoveredMillis = nowMillis;
		}
	}

	/**
	 * Returns whether the node of the endpoint limits its pace by its answers.
	 * @return true if the reported pace applies
	 */
	public boolean isPaced() {
		return this.paced;
	}

	/**
	 * Counts a call that is about to be sent.
	 */
	public void started() {
		this.inFlight.incrementAndGet();
	}

	/**
	 * Records a call that ran or failed.
	 * @param nowMillis clock reading in milliseconds
	 * @param millis latency of the call
	 * @param error whether the call failed
	 */
	public void finished(long nowMillis, double millis, boolean error) {
		this.inFlight.decrementAndGet();
		double previous = this.latencyMillis;
		// Latencies above the average have three times the weight, so that a server that
		// slows down is detected after a few calls.
		double weight = (millis > previous) ? 3 * LATENCY_WEIGHT : LATENCY_WEIGHT;
		this.latencyMillis = (previous == 0) ? Math.max(0.01, millis) : previous + weight * (millis - previous);
		double errors = errorShare(nowMillis);
		this.errorShare = errors + ERROR_WEIGHT * ((error ? 1 : 0) - errors);
		this.observedMillis = nowMillis;
	}

	/**
	 * Records a call that was refused or never sent.
	 * @param avoidUntilMillis time until which the endpoint gets no further calls
	 */
	public void refused(long avoidUntilMillis) {
		this.inFlight.decrementAndGet();
		this.avoidedUntilMillis = avoidUntilMillis;
	}

	/**
	 * Records a call that was refused for lack of free capacity. The endpoint may still
	 * have capacity for calls of higher priority.
	 * @param untilMillis time until which the endpoint gets no calls of this or a lower
	 * priority
	 * @param priority priority of the call
	 */
	public void recordFull(long untilMillis, int priority) {
		this.inFlight.decrementAndGet();
		this.fullFromPriority = priority;
		this.fullUntilMillis = untilMillis;
	}

	/**
	 * Records a call that could not be sent.
	 * @param nowMillis clock reading in milliseconds
	 * @param pause backoff after consecutive failures
	 * @param random source of randomness for the jitter
	 */
	public void unreachable(long nowMillis, Backoff pause, RandomGenerator random) {
		int failures = this.failedConnections.incrementAndGet();
		refused(nowMillis + pause.firstMillis() / 2 + pause.pauseMillis(failures, random));
	}

	/**
	 * Records a call that ended without an observation of the endpoint.
	 */
	public void abandoned() {
		this.inFlight.decrementAndGet();
	}

	/**
	 * Records the load that the endpoint reported with an answer. An answer also proves
	 * that the endpoint is reachable.
	 * @param nowMillis clock reading in milliseconds
	 * @param load number of calls running and waiting at the endpoint
	 */
	public void recordReport(long nowMillis, int load) {
		recordReport(nowMillis, load, 0);
	}

	/**
	 * Records the load and service time that the endpoint reported with an answer. An
	 * answer also proves that the endpoint is reachable.
	 * @param nowMillis clock reading in milliseconds
	 * @param load number of calls running and waiting at the endpoint
	 * @param serviceMillis service time of a call at the endpoint, over the calls of all
	 * callers; 0 if not reported
	 */
	public void recordReport(long nowMillis, int load, double serviceMillis) {
		recordReport(nowMillis, load, serviceMillis, 1, USUAL_SLOWNESS_PERCENT);
	}

	/**
	 * Records the load, service time, pace and slowness that the endpoint reported with
	 * an answer. An answer also proves that the endpoint is reachable.
	 * @param nowMillis clock reading in milliseconds
	 * @param load number of calls running and waiting at the endpoint
	 * @param serviceMillis service time of a call at the endpoint at the usual speed of
	 * its VM, over the calls of all callers; 0 if not reported
	 * @param pace share of its slots that the endpoint may use, 0 to 1
	 * @param slownessPercent how long work takes on the VM at the moment, 100 is usual
	 */
	public void recordReport(long nowMillis, int load, double serviceMillis, double pace, int slownessPercent) {
		this.reportedPace = pace;
		this.reportedSlownessPercent = slownessPercent;
		this.failedConnections.set(0);
		this.reportedServiceMillis = serviceMillis;
		this.reportedLoad = load;
		this.reportedMillis = nowMillis;
	}

	/**
	 * Returns whether the endpoint currently gets no calls of a priority.
	 * @param nowMillis clock reading in milliseconds
	 * @param priority priority of the call
	 * @return true while the endpoint is avoided
	 */
	public boolean isAvoided(long nowMillis, int priority) {
		return nowMillis < this.avoidedUntilMillis
				|| (nowMillis < this.fullUntilMillis && priority >= this.fullFromPriority);
	}

	/**
	 * Returns the number of calls of this node that have not been answered.
	 * @return count
	 */
	public int inFlight() {
		return this.inFlight.get();
	}

	/**
	 * Returns the best estimate of the number of calls at the endpoint: the calls of this
	 * node or, while the last reported load is valid, the larger of both.
	 * @param nowMillis clock reading in milliseconds
	 * @return count
	 */
	public int load(long nowMillis) {
		int localCalls = this.inFlight.get();
		return (nowMillis - this.reportedMillis < REPORT_VALIDITY_MILLIS) ? Math.max(localCalls, this.reportedLoad)
				: localCalls;
	}

	/**
	 * Returns the smoothed latency, halved for each half-life without an observation.
	 * @param nowMillis clock reading in milliseconds
	 * @return milliseconds, 0 if nothing was observed
	 */
	public double latencyMillis(long nowMillis) {
		double age = Math.max(0, nowMillis - this.observedMillis);
		if (age < LATENCY_HALF_LIFE_MILLIS / 16) {
			return this.latencyMillis;
		}
		return this.latencyMillis * Math.pow(0.5, age / LATENCY_HALF_LIFE_MILLIS);
	}

	/**
	 * Returns the service time of a call at the endpoint as reported by its node, or else
	 * as observed. The value is halved for each half-life without an answer, so that an
	 * endpoint that was slow once is tried again.
	 * @param nowMillis clock reading in milliseconds
	 * @return milliseconds, 0 if nothing was reported or observed
	 */
	public double serviceMillis(long nowMillis) {
		double reported = this.reportedServiceMillis;
		if (reported <= 0) {
			return latencyMillis(nowMillis);
		}
		double age = Math.max(0, nowMillis - this.reportedMillis - LATENCY_HALF_LIFE_MILLIS / 2);
		return (age > 0) ? reported * Math.pow(0.5, age / LATENCY_HALF_LIFE_MILLIS) : reported;
	}

	/**
	 * Returns how much longer than usual work takes on the VM of the endpoint.
	 * @param nowMillis clock reading in milliseconds
	 * @return factor, 1 if no recent value was reported
	 */
	public double slowness(long nowMillis) {
		boolean recent = nowMillis - this.reportedMillis <= SLOWNESS_VALIDITY_MILLIS;
		return recent ? (double) this.reportedSlownessPercent / USUAL_SLOWNESS_PERCENT : 1;
	}

	/**
	 * Returns the exponentially smoothed share of failed calls, halved for each half-life
	 * without an observation. Without that, an endpoint whose few calls from this node
	 * failed would get no further ones that could show its recovery.
	 * @param nowMillis clock reading in milliseconds
	 * @return 0 to 1
	 */
	public double errorShare(long nowMillis) {
		if (!this.paced) {
			return this.errorShare;
		}
		double age = Math.max(0, nowMillis - this.observedMillis);
		return (this.errorShare == 0) ? 0 : this.errorShare * Math.pow(0.5, age / ERROR_HALF_LIFE_MILLIS);
	}

	/**
	 * Returns the share of its slots that the endpoint may use: the pace that it reported
	 * with a recent answer, else a small share if it is cold. A cold endpoint without a
	 * pace gets its share by the time since its discovery.
	 * @param nowMillis clock reading in milliseconds
	 * @return above 0, at most 1
	 */
	public double paceShare(long nowMillis) {
		if (!this.paced) {
			return (this.endpoint.state() == EndpointState.COLD) ? SlowStart.share(nowMillis - this.discoveredMillis)
					: 1;
		}
		if (nowMillis - this.reportedMillis < REPORT_VALIDITY_MILLIS) {
			return Math.max(MINIMUM_SHARE, this.reportedPace);
		}
		return (this.endpoint.state() == EndpointState.COLD) ? COLD_SHARE : 1;
	}

}
