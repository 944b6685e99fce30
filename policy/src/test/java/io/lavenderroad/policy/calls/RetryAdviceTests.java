package io.lavenderroad.policy.calls;

import java.util.Random;
import java.util.stream.LongStream;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against callers that are told to come back when their answer must be late, or
 * all at the same time.
 */
public class RetryAdviceTests {

	private final Random random = new Random(20261204);

	@Test
	public void callerIsBackWhileAnAnswerCanBeInTime() {
		Assert.assertTrue(advice(150).max().orElseThrow() <= 75);
		Assert.assertTrue(advice(400).max().orElseThrow() <= 200);
	}

	@Test
	public void callersAreSpread() {
		long distinct = advice(400).distinct().count();
		Assert.assertTrue(distinct > 100, distinct + " different times");
	}

	@Test
	public void longTargetsDoNotKeepCallersAway() {
		Assert.assertTrue(advice(30_000).max().orElseThrow() <= 500);
	}

	private LongStream advice(int targetMillis) {
		return LongStream.generate(() -> RetryAdvice.afterMillis(targetMillis, this.random)).limit(1_000);
	}

}
