package io.lavenderroad.distribution;

import java.util.random.RandomGenerator;

import io.lavenderroad.core.Clock;
import io.lavenderroad.core.wire.WireOptions;

/**
 * Options that the builders of node and root distribution have in common.
 *
 * @param <B> type of the builder itself
 */
public abstract class DistributionBuilder<B extends DistributionBuilder<B>> {

	WireOptions options;

	Clock clock = Clock.system();

	RandomGenerator random = RandomGenerator.getDefault();

	int attachesPerSecond;

	DistributionBuilder(int attachesPerSecond) {
		this.attachesPerSecond = attachesPerSecond;
	}

	abstract B self();

	/**
	 * Sets the limits and the identity of the process. A control member takes its id and
	 * frame address from the {@code hello} of the options.
	 * @param options the options; their catalog must contain the types of this module
	 * @return this builder
	 */
	public B options(WireOptions options) {
		this.options = options;
		return self();
	}

	/**
	 * Sets the clock.
	 * @param clock the clock
	 * @return this builder
	 */
	public B clock(Clock clock) {
		this.clock = clock;
		return self();
	}

	/**
	 * Sets the source of randomness.
	 * @param random a thread-safe source
	 * @return this builder
	 */
	public B random(RandomGenerator random) {
		this.random = random;
		return self();
	}

	/**
	 * Sets the number of attach requests that are served per second.
	 * @param count the rate
	 * @return this builder
	 */
	public B attachesPerSecond(int count) {
		this.attachesPerSecond = count;
		return self();
	}

}
