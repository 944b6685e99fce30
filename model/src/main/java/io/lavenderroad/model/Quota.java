package io.lavenderroad.model;

/**
 * Limit on the requests of a team over all nodes together: a token bucket.
 *
 * @param requestsPerSecond rate at which the bucket fills, requests per second, above 0
 * @param burst requests that the team may send at once beyond the rate, 0 or more
 */
public record Quota(double requestsPerSecond, double burst) {

	public Quota {
		if (!(requestsPerSecond > 0) || Double.isInfinite(requestsPerSecond)) {
			throw new IllegalArgumentException("rate " + requestsPerSecond + " is not above 0 and finite");
		}
		if (!(burst >= 0) || Double.isInfinite(burst)) {
			throw new IllegalArgumentException("burst " + burst + " is not 0 or more and finite");
		}
	}

}
