package io.lavenderroad.distribution;

import java.util.random.RandomGenerator;

import io.lavenderroad.core.Clock;
import io.lavenderroad.core.wire.WireOptions;

/**
 * What the distribution of a node and of a control member are both built with.
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
	 * Sets the limits and the identity of the process. The id and the frame address of a
	 * control member are those of the hello.
	 * @param options the options; their catalog holds the types of this module
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
	 * @param random a source that several threads may use
	 * @return this builder
	 */
	public B random(RandomGenerator random) {
		this.random = random;
		return self();
	}

	/**
	 * Sets how many attach requests are served per second.
	 * @param count the rate
	 * @return this builder
	 */
	public B attachesPerSecond(int count) {
		this.attachesPerSecond = count;
		return self();
	}

}
