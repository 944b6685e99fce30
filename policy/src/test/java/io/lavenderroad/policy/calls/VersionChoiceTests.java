package io.lavenderroad.policy.calls;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against calls of an old version at full capacity that overflow onto a new
 * version with a small share.
 */
public class VersionChoiceTests {

	private static final Map<String, Integer> FIRST_STEP = Map.of("v1", 9_950, "v2", 50);

	private final Random random = new Random(20261204);

	@Test
	public void oldVersionDoesNotOverflowOntoTheNewOne() {
		int drawnNew = 0;
		for (int call = 0; call < 100_000; call++) {
			List<String> order = VersionChoice.order(FIRST_STEP, Optional.of("v1"), this.random);
			if (order.getFirst().equals("v1")) {
				Assert.assertEquals(order, List.of("v1"));
			}
			else {
				Assert.assertEquals(order, List.of("v2", "v1"));
				drawnNew++;
			}
		}
		Assert.assertTrue(drawnNew > 400 && drawnNew < 600, drawnNew + " of 100000 calls drew a share of 0.5%");
	}

	@Test
	public void oldVersionTakesTheCallsOfALostNewOneAtAnyShare() {
		Map<String, Integer> lastStep = Map.of("v1", 500, "v2", 9_500);
		for (int call = 0; call < 1_000; call++) {
			List<String> order = VersionChoice.order(lastStep, Optional.of("v1"), this.random);
			Assert.assertTrue(order.contains("v1"), order.toString());
		}
	}

	@Test
	public void versionWithoutShareIsNeverChosen() {
		for (int call = 0; call < 1_000; call++) {
			Assert.assertEquals(VersionChoice.order(Map.of("v1", 10_000, "v2", 0), Optional.of("v1"), this.random),
					List.of("v1"));
		}
		Assert.assertEquals(VersionChoice.order(Map.of(), Optional.empty(), this.random), List.of());
	}

}
