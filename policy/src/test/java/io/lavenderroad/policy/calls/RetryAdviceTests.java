package io.lavenderroad.policy.calls;

import java.util.Random;
import java.util.stream.LongStream;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against callers that are advised to retry too late for an answer within the
 * target latency, or all at the same time.
 */
public class RetryAdviceTests {

	private final Random random = new Random(20261204);

	@Test
	public void retryLeavesTimeForAnAnswer() {
		Assert.assertTrue(delays(150).max().orElseThrow() <= 75);
		Assert.assertTrue(delays(400).max().orElseThrow() <= 200);
	}

	@Test
	public void retriesAreSpread() {
		long distinct = delays(400).distinct().count();
		Assert.assertTrue(distinct > 100, distinct + " different times");
	}

	@Test
	public void delayIsBoundedForLongTargets() {
		Assert.assertTrue(delays(30_000).max().orElseThrow() <= 500);
	}

	private LongStream delays(int targetMillis) {
		return LongStream.generate(() -> RetryAdvice.afterMillis(targetMillis, this.random)).limit(1_000);
	}

}
