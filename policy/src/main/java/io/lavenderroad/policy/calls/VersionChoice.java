package io.lavenderroad.policy.calls;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.lavenderroad.model.ServiceConfiguration;

/**
 * Chooses the version for a call according to the traffic split.
 */
public final class VersionChoice {

	private VersionChoice() {
	}

	/**
	 * Draws a version and lists the fallback versions that may take the call if the drawn
	 * one has no endpoint. A version only takes over calls of a version with a smaller
	 * share, so that an old version at full capacity does not overflow onto a new one
	 * that is still being tested. The version that a move comes from may always take
	 * them, which is the safe direction.
	 * @param split share of each version in 1/10,000
	 * @param moveFrom version that the active move comes from, if there is a move
	 * @param random source of randomness
	 * @return the drawn version, then the fallback versions in the order in which they
	 * are tried; empty if no version has a share
	 */
	public static List<String> order(Map<String, Integer> split, Optional<String> moveFrom, RandomGenerator random) {
		Optional<String> drawn = draw(split, random);
		if (drawn.isEmpty()) {
			return List.of();
		}
		int drawnShare = split.get(drawn.get());
		List<String> order = new ArrayList<>(List.of(drawn.get()));
		split.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() > 0 && !entry.getKey().equals(drawn.get()))
			.filter((entry) -> entry.getValue() > drawnShare || moveFrom.equals(Optional.of(entry.getKey())))
			.sorted(Map.Entry.<String, Integer>comparingByValue().reversed())
			.forEach((entry) -> order.add(entry.getKey()));
		return order;
	}

	private static Optional<String> draw(Map<String, Integer> split, RandomGenerator random) {
		int point = random.nextInt(ServiceConfiguration.FULL_SHARE_BASIS_POINTS);
		Optional<String> last = Optional.empty();
		for (Map.Entry<String, Integer> entry : split.entrySet()) {
			if (entry.getValue() > 0) {
				last = Optional.of(entry.getKey());
				point -= entry.getValue();
				if (point < 0) {
					return last;
				}
			}
		}
		return last;
	}

}
