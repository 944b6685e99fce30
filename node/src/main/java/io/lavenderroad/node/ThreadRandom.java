package io.lavenderroad.node;

import java.util.concurrent.ThreadLocalRandom;
import java.util.random.RandomGenerator;

/**
 * Default random generator, without contention between threads.
 */
final class ThreadRandom implements RandomGenerator {

	@Override
	public long nextLong() {
		return ThreadLocalRandom.current().nextLong();
	}

}
