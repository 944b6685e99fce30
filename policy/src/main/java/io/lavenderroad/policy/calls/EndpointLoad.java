package io.lavenderroad.policy.calls;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;

import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.EndpointState;

/**
 * What one caller's node has observed of one endpoint. Safe for use by many threads;
 * readings may be a few calls old, which the decisions tolerate.
 */
public final class EndpointLoad {

	private static final double LATENCY_WEIGHT = 0.1;

	private static final double ERROR_WEIGHT = 0.05;

	/**
	 * After this time without an observation the latency counts half, so that an endpoint
	 * that was slow once is tried again.
	 */
	private static final double LATENCY_HALF_LIFE_MILLIS = 5_000;

	/**
	 * A load reported by the endpoint with an answer is a hint for this long only.
	 */
	private static final long HINT_MILLIS = 1_000;

	private final AtomicInteger inFlight = new AtomicInteger();

	private final AtomicInteger failedConnections = new AtomicInteger();

	private final long firstSeenMillis;

	private volatile Endpoint endpoint;

	private volatile double latencyMillis;

	private volatile double errorShare;

	private volatile long observedMillis;

	private volatile long avoidedUntilMillis = Long.MIN_VALUE;

	private volatile long fullUntilMillis = Long.MIN_VALUE;

	private volatile int fullFromRank = Integer.MAX_VALUE;

	private volatile int hintedLoad;

	private volatile long hintedMillis = Long.MIN_VALUE / 2;

	private volatile double reportedServiceMillis;

	/**
	 * Creates the record of an endpoint without observations.
	 * @param endpoint the announcement
	 * @param nowMillis clock reading in milliseconds
	 */
	public EndpointLoad(Endpoint endpoint, long nowMillis) {
		this.endpoint = endpoint;
		this.firstSeenMillis = nowMillis;
	}

	/**
	 * Returns the last announcement.
	 * @return the endpoint
	 */
	public Endpoint endpoint() {
		return this.endpoint;
	}

	/**
	 * Replaces the announcement by a newer one of the same incarnation.
	 * @param newer the announcement
	 */
	public void update(Endpoint newer) {
		this.endpoint = newer;
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
	 * @param error true if the call failed
	 */
	public void finished(long nowMillis, double millis, boolean error) {
		this.inFlight.decrementAndGet();
		double known = this.latencyMillis;
		// A slower answer counts three times, so that a server that slows down is
		// recognized after a few calls.
		double weight = (millis > known) ? 3 * LATENCY_WEIGHT : LATENCY_WEIGHT;
		this.latencyMillis = (known == 0) ? Math.max(0.01, millis) : known + weight * (millis - known);
		this.errorShare += ERROR_WEIGHT * ((error ? 1 : 0) - this.errorShare);
		this.observedMillis = nowMillis;
	}

	/**
	 * Records a call that was refused or never sent.
	 * @param avoidUntilMillis until when the endpoint gets no further call
	 */
	public void refused(long avoidUntilMillis) {
		this.inFlight.decrementAndGet();
		this.avoidedUntilMillis = avoidUntilMillis;
	}

	/**
	 * Records a call that was refused for lack of room. More urgent calls may still find
	 * room there.
	 * @param untilMillis until when the endpoint gets no call of that rank or a less
	 * urgent one
	 * @param rank rank of the call
	 */
	public void full(long untilMillis, int rank) {
		this.inFlight.decrementAndGet();
		this.fullFromRank = rank;
		this.fullUntilMillis = untilMillis;
	}

	/**
	 * Records a call that could not be sent.
	 * @param nowMillis clock reading in milliseconds
	 * @param pause pause after the first failure and its growth with each further one
	 * @param random source of randomness
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
	 * Records the load that the endpoint reported with an answer. The answer shows that
	 * it can be reached.
	 * @param nowMillis clock reading in milliseconds
	 * @param load calls running and waiting there
	 */
	public void hint(long nowMillis, int load) {
		hint(nowMillis, load, 0);
	}

	/**
	 * Records what the endpoint reported with an answer.
	 * @param nowMillis clock reading in milliseconds
	 * @param load calls running and waiting there
	 * @param serviceMillis how long a call runs there, seen over the calls of all
	 * callers; 0 if not reported
	 */
	public void hint(long nowMillis, int load, double serviceMillis) {
		this.failedConnections.set(0);
		this.reportedServiceMillis = serviceMillis;
		this.hintedLoad = load;
		this.hintedMillis = nowMillis;
	}

	/**
	 * Tells whether the endpoint gets no calls of a rank for the moment.
	 * @param nowMillis clock reading in milliseconds
	 * @param rank rank of the call
	 * @return true while it is avoided
	 */
	public boolean isAvoided(long nowMillis, int rank) {
		return nowMillis < this.avoidedUntilMillis || (nowMillis < this.fullUntilMillis && rank >= this.fullFromRank);
	}

	/**
	 * Returns the calls of this node that have no answer yet.
	 * @return count
	 */
	public int inFlight() {
		return this.inFlight.get();
	}

	/**
	 * Returns the best known number of calls at the endpoint: the own ones or, while it
	 * is fresh, the reported load of all callers.
	 * @param nowMillis clock reading in milliseconds
	 * @return count
	 */
	public int load(long nowMillis) {
		int own = this.inFlight.get();
		return (nowMillis - this.hintedMillis < HINT_MILLIS) ? Math.max(own, this.hintedLoad) : own;
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
	 * Returns how long a call runs at the endpoint, as reported by its node, or else as
	 * observed; halved for each half-life without an answer, so that an endpoint that was
	 * slow once is tried again.
	 * @param nowMillis clock reading in milliseconds
	 * @return milliseconds, 0 if nothing is known
	 */
	public double serviceMillis(long nowMillis) {
		double reported = this.reportedServiceMillis;
		if (reported <= 0) {
			return latencyMillis(nowMillis);
		}
		double age = Math.max(0, nowMillis - this.hintedMillis - LATENCY_HALF_LIFE_MILLIS / 2);
		return (age > 0) ? reported * Math.pow(0.5, age / LATENCY_HALF_LIFE_MILLIS) : reported;
	}

	/**
	 * Returns the smoothed share of failed calls.
	 * @return 0 to 1
	 */
	public double errorShare() {
		return this.errorShare;
	}

	/**
	 * Returns the share of its usual traffic that the endpoint may get now.
	 * @param nowMillis clock reading in milliseconds
	 * @return above 0, at most 1
	 */
	public double slowStartShare(long nowMillis) {
		if (this.endpoint.state() != EndpointState.COLD) {
			return 1;
		}
		return SlowStart.share(nowMillis - this.firstSeenMillis);
	}

}
