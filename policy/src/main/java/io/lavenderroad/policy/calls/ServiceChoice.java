package io.lavenderroad.policy.calls;

import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the service for a request on a route that is split by weight. A service without
 * free capacity keeps its share: its requests are refused and not sent to another
 * service.
 */
public final class ServiceChoice {

	private ServiceChoice() {
	}

	/**
	 * Draws a service at random according to the weights.
	 * @param weights weight by service
	 * @param random source of randomness
	 * @return the service, empty if no weight is above 0
	 */
	public static Optional<String> draw(Map<String, Integer> weights, RandomGenerator random) {
		long sum = weights.values().stream().mapToLong((weight) -> Math.max(0, weight)).sum();
		if (sum <= 0) {
			return Optional.empty();
		}
		long point = random.nextLong(sum);
		for (Map.Entry<String, Integer> entry : weights.entrySet()) {
			point -= Math.max(0, entry.getValue());
			if (point < 0) {
				return Optional.of(entry.getKey());
			}
		}
		throw new IllegalStateException("the weights " + weights + " do not add up to " + sum);
	}

}
