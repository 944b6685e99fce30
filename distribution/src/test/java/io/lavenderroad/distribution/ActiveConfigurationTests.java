package io.lavenderroad.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import io.lavenderroad.distribution.ActiveConfiguration.Outcome;
import io.lavenderroad.distribution.ActiveConfiguration.Result;
import io.lavenderroad.model.ConfigurationDelta;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.Scope;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against activation of an older version, a partially applied version, a route
 * without its resource, and updates that arrive out of order.
 */
public class ActiveConfigurationTests {

	private static final Scope ALL = Scope.everything();

	@Test
	public void reorderedUpdatesNeverLowerTheVersionAndEndAtTheNewest() {
		Random random = new Random(20261204);
		for (int run = 0; run < 50; run++) {
			ActiveConfiguration node = new ActiveConfiguration(MeshConfiguration::missingResources,
					ActiveConfiguration.VersionStore.NONE);
			List<MeshConfiguration> history = history(12, random);
			for (int step = 0; step < 200; step++) {
				long before = node.current().version();
				offerAny(node, history, random);
				long after = node.current().version();
				Assert.assertTrue(after >= before, after + " follows " + before);
				if (after > 0) {
					Assert.assertEquals(node.current().digest(), history.get((int) after - 1).digest());
				}
			}
			MeshConfiguration newest = history.getLast();
			node.offer(newest, newest.digest(), true, false);
			Assert.assertEquals(node.current().digest(), newest.digest());
		}
	}

	@Test
	public void olderAndEqualVersionsAreIgnored() {
		List<MeshConfiguration> history = history(3, new Random(1));
		MeshConfiguration second = history.get(1);
		ActiveConfiguration node = holding(second);
		Assert.assertEquals(offer(node, history.get(0), false), Result.IGNORED);
		Assert.assertEquals(offer(node, second, false), Result.IGNORED);
		Assert.assertEquals(node.offerAdvance(1, 2).result(), Result.IGNORED);
		Assert.assertEquals(offer(node, history.get(0), true), Result.IGNORED,
				"an older version is ignored even if the slice was requested");
		Assert.assertSame(node.current(), second);
	}

	@Test
	public void widerScopeReplacesOnlyTheSameOrAnOlderVersion() {
		List<MeshConfiguration> history = history(3, new Random(2));
		ActiveConfiguration node = new ActiveConfiguration(MeshConfiguration::missingResources,
				ActiveConfiguration.VersionStore.NONE);
		MeshConfiguration slice = history.get(1).slice(Scope.of("service-1"));
		node.offer(slice, slice.digest(), false, false);
		Assert.assertEquals(offer(node, history.get(0), false), Result.IGNORED);
		Assert.assertFalse(node.everything());
		Assert.assertEquals(offer(node, history.get(1), false), Result.ACTIVATED);
		Assert.assertTrue(node.everything());
	}

	@Test
	public void mismatchedDeltaIsNotAppliedInPart() {
		List<MeshConfiguration> history = history(4, new Random(3));
		ActiveConfiguration node = holding(history.get(1));
		ConfigurationDelta delta = delta(history.get(1), history.get(2));
		ConfigurationDelta damaged = new ConfigurationDelta(delta.fromVersion(), delta.toVersion(), List.of(),
				delta.removed(), delta.digest());
		Assert.assertEquals(node.offer(damaged).result(), Result.DIGEST_MISMATCH);
		Assert.assertEquals(node.offer(delta(history.get(2), history.get(3))).result(), Result.BASE_MISMATCH);
		Assert.assertEquals(node.offerAdvance(1, 9).result(), Result.BASE_MISMATCH);
		Assert.assertEquals(node.offer(history.get(3), "another digest", true, false).result(), Result.DIGEST_MISMATCH);
		Assert.assertSame(node.current(), history.get(1));
		Assert.assertEquals(node.offer(delta).result(), Result.ACTIVATED);
	}

	@Test
	public void versionWithMissingResourceIsRejected() {
		MeshConfiguration good = history(1, new Random(4)).getFirst();
		ActiveConfiguration node = holding(good);
		MeshConfiguration bad = good.next(2, List
			.of(DistributionTests.service("service-1", 1, Set.of()).toBuilder().split(Map.of("v9", 10_000)).build()),
				List.of());
		Outcome outcome = node.offer(bad, bad.digest(), true, false);
		Assert.assertEquals(outcome.result(), Result.REJECTED);
		Assert.assertTrue(outcome.reason().contains("unknown version v9"), outcome.reason());
		Assert.assertSame(node.current(), good);
	}

	@Test
	public void versionThatCannotBeStoredIsNotActivated() {
		ActiveConfiguration node = new ActiveConfiguration(MeshConfiguration::missingResources,
				(configuration, everything) -> Optional.of("disk is full"));
		Assert.assertEquals(offer(node, history(1, new Random(5)).getFirst(), false), Result.REJECTED);
		Assert.assertEquals(node.current().version(), 0);
	}

	private ActiveConfiguration holding(MeshConfiguration configuration) {
		ActiveConfiguration node = new ActiveConfiguration(MeshConfiguration::missingResources,
				ActiveConfiguration.VersionStore.NONE);
		Assert.assertEquals(offer(node, configuration, false), Result.ACTIVATED);
		return node;
	}

	private static Result offer(ActiveConfiguration node, MeshConfiguration configuration, boolean requested) {
		return node.offer(configuration, configuration.digest(), true, requested).result();
	}

	private static void offerAny(ActiveConfiguration node, List<MeshConfiguration> history, Random random) {
		int from = random.nextInt(history.size());
		int to = random.nextInt(history.size());
		switch (random.nextInt(3)) {
			case 0 -> offer(node, history.get(to), random.nextBoolean());
			case 1 -> node.offerAdvance(history.get(from).version(), history.get(from).version());
			default -> {
				if (from < to) {
					node.offer(delta(history.get(from), history.get(to)));
				}
			}
		}
	}

	private static ConfigurationDelta delta(MeshConfiguration from, MeshConfiguration to) {
		return to.deltaFrom(from.version(), from.services().keySet(), ALL).orElseThrow();
	}

	private static List<MeshConfiguration> history(int length, Random random) {
		List<MeshConfiguration> history = new ArrayList<>();
		MeshConfiguration mesh = MeshConfiguration.EMPTY;
		for (int version = 1; version <= length; version++) {
			mesh = mesh.next(version,
					List.of(DistributionTests.service("service-1", 1, Set.of()),
							DistributionTests.service("service-" + random.nextInt(9), random.nextInt(99), Set.of())),
					random.nextBoolean() ? List.of("service-" + random.nextInt(9)) : List.of());
			history.add(mesh);
		}
		return history;
	}

}
