package io.lavenderroad.distribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import io.lavenderroad.distribution.DistributionMessages.Hop;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests the decisions about the shape of the tree. Guards against overload by a reconnect
 * storm, loops, silent parents that are kept, and searches that never end.
 */
public class TreeDecisionTests {

	@Test
	public void reconnectStormIsAdmittedAtConfiguredRate() {
		AttachAdmission admission = new AttachAdmission(50, 0);
		Map<Integer, Long> returns = new HashMap<>();
		for (int caller = 0; caller < 400; caller++) {
			returns.put(caller, 0L);
		}
		int[] admitted = new int[20];
		for (long now = 0; now < 20_000; now += 10) {
			for (int caller : List.copyOf(returns.keySet())) {
				if (returns.get(caller) > now) {
					continue;
				}
				long waitMillis = admission.admit(now);
				if (waitMillis == 0) {
					returns.remove(caller);
					admitted[(int) (now / 1_000)]++;
				}
				else {
					Assert.assertTrue(waitMillis >= 100 && waitMillis <= 5_000, "wait of " + waitMillis);
					returns.put(caller, now + waitMillis);
				}
			}
		}
		Assert.assertTrue(returns.isEmpty(), returns.size() + " callers were never admitted");
		for (int second = 0; second < admitted.length; second++) {
			Assert.assertTrue(admitted[second] <= 100, admitted[second] + " in second " + second);
		}
	}

	@Test
	public void rootAcceptsNodesDirectlyUntilItIsFull() {
		List<Placement.ChildState> children = new ArrayList<>();
		for (int index = 0; index < 96; index++) {
			Assert.assertTrue(Placement.ROOT.decide("caller", "east", Set.of(), children).accepted(),
					"a relay is one more process that may fail, so child " + index + " is accepted directly");
			children.add(child("child-" + index, "east", 1));
		}
		Placement.Decision next = Placement.ROOT.decide("caller", "east", Set.of(), children);
		Assert.assertFalse(next.accepted());
		Assert.assertEquals(next.targets().size(), 3);
		Assert.assertTrue(Placement.ROOT.decide("child-0", "east", Set.of(), children).accepted(),
				"a child that attaches again is accepted");
	}

	@Test
	public void fullRootAcceptsTwoPerFailureDomainAndRedirectsOthers() {
		List<Placement.ChildState> children = new ArrayList<>();
		for (int index = 0; index < 96; index++) {
			children.add(child("child-" + index, "west", 1));
		}
		Assert.assertTrue(Placement.ROOT.decide("a", "east", Set.of(), children).accepted());
		children.add(child("a", "east", 9));
		children.add(child("b", "east", 3));
		Placement.Decision third = Placement.ROOT.decide("c", "east", Set.of(), children);
		Assert.assertFalse(third.accepted());
		Assert.assertEquals(third.targets().stream().map(Hop::id).toList(), List.of("a", "b"));
		Assert.assertTrue(Placement.ROOT.decide("d", "south", Set.of(), children).accepted());
		Assert.assertTrue(Placement.ROOT.decide("a", "east", Set.of(), children).accepted(),
				"a child that attaches again is accepted");
	}

	@Test
	public void callerThatCannotReachTheChildrenIsAccepted() {
		List<Placement.ChildState> children = new ArrayList<>(List.of(child("a", "east", 1), child("b", "east", 1)));
		for (int index = 0; index < 96; index++) {
			children.add(child("child-" + index, "west", 1));
		}
		Assert.assertEquals(
				Placement.ROOT.decide("c", "east", Set.of("a"), children).targets().stream().map(Hop::id).toList(),
				List.of("b"));
		Assert.assertTrue(Placement.ROOT.decide("c", "east", Set.of("a", "b"), children).accepted());
	}

	@Test
	public void relayAcceptsAtMostSixteenChildren() {
		List<Placement.ChildState> children = new ArrayList<>();
		for (int index = 0; index < 16; index++) {
			Assert.assertTrue(Placement.RELAY.decide("caller", "east", Set.of(), children).accepted());
			children.add(child("child-" + index, "east", 2 * index + 1));
		}
		Assert.assertEquals(
				Placement.RELAY.decide("caller", "west", Set.of(), children).targets().stream().map(Hop::id).toList(),
				List.of("child-7", "child-6", "child-5"), "relays with free capacity come first");
	}

	@Test
	public void pathThatContainsTheProcessIsALoop() {
		List<Hop> path = List.of(hop("root"), hop("a"), hop("b"));
		Assert.assertTrue(TreePath.usable(path, "c"));
		Assert.assertFalse(TreePath.usable(path, "a"));
		Assert.assertEquals(TreePath.ancestors(path), List.of(hop("a"), hop("root")));
		List<Hop> longest = new ArrayList<>();
		for (int index = 0; index < TreePath.MAXIMUM_HOPS; index++) {
			longest.add(hop("hop-" + index));
		}
		Assert.assertFalse(TreePath.usable(longest, "c"));
	}

	@Test
	public void silentParentIsLostAndParentWithoutRootIsReplaced() {
		Assert.assertEquals(ParentHealth.of(true, true, false, 1_200, 3_000, 1), ParentHealth.HEALTHY);
		Assert.assertEquals(ParentHealth.of(true, true, false, 1_201, 0, 1), ParentHealth.LOST,
				"a change has to become active within 2 s also below a crashed parent");
		Assert.assertEquals(ParentHealth.of(true, true, false, 0, 3_001, 1), ParentHealth.REPLACE);
		Assert.assertEquals(ParentHealth.of(true, true, false, 0, 3_001, 2), ParentHealth.HEALTHY,
				"the relay above searches for another parent first");
		Assert.assertEquals(ParentHealth.of(true, true, false, 0, 4_001, 3), ParentHealth.REPLACE);
		Assert.assertEquals(ParentHealth.of(true, true, true, 0, 0, 1), ParentHealth.REPLACE);
		Assert.assertEquals(ParentHealth.of(true, false, false, 0, 0, 1), ParentHealth.LOST);
		Assert.assertEquals(ParentHealth.of(false, true, false, 0, 0, 1), ParentHealth.LOST);
	}

	@Test
	public void searchTriesAncestorsThenSeedsAndSkipsTheLostParent() {
		ParentCandidates candidates = new ParentCandidates("self", List.of(hop("a"), hop("root")),
				List.of("at-lost", "seed"), Optional.of(hop("lost")));
		candidates.redirected(List.of(hop("lost"), hop("x"), hop("self")));
		List<String> order = new ArrayList<>();
		for (Optional<Hop> next = candidates.next(); next.isPresent(); next = candidates.next()) {
			order.add(next.get().address());
		}
		Assert.assertEquals(order, List.of("at-x", "at-a", "at-root", "seed"));
		Assert.assertEquals(candidates.avoided(), Set.of("lost"));
	}

	@Test
	public void nextRoundStartsWithParentsThatDeferredTheCaller() {
		ParentCandidates candidates = new ParentCandidates("self", List.of(hop("a"), hop("b")), List.of(),
				Optional.empty());
		candidates.deferred(candidates.next().orElseThrow(), 400);
		candidates.deferred(candidates.next().orElseThrow(), 300);
		Assert.assertEquals(candidates.next(), Optional.empty());
		Assert.assertEquals(candidates.retryAfterMillis(), 300);
		Assert.assertEquals(candidates.deferring(), List.of(hop("a"), hop("b")));
	}

	@Test
	public void circularRedirectsEnd() {
		ParentCandidates candidates = new ParentCandidates("self", List.of(), List.of("at-0"), Optional.empty());
		int attempts = 0;
		for (Optional<Hop> next = candidates.next(); next.isPresent(); next = candidates.next()) {
			attempts++;
			Hop target = hop(String.valueOf(attempts % 3));
			candidates.redirected(List.of(target));
			candidates.failed(next.get(), target);
		}
		Assert.assertTrue(attempts <= 24, attempts + " attempts");
	}

	@Test
	public void floorRetryDelayStaysBoundedAfterManyFailures() {
		Backoff backoff = new Backoff(new Random(7), TreeTimes.FLOOR_RETRY_MILLIS, TreeTimes.FLOOR_RETRY_LIMIT_MILLIS);
		for (int attempt = 0; attempt < 20; attempt++) {
			long waitMillis = backoff.nextMillis();
			Assert.assertTrue(waitMillis <= 400, "wait of " + waitMillis + " ms after attempt " + attempt);
		}
	}

	@Test
	public void backoffStaysBetweenZeroAndFiveSeconds() {
		Backoff backoff = new Backoff(new Random(7));
		for (int attempt = 0; attempt < 1_000; attempt++) {
			long bound = Math.min(5_000, 100L << Math.min(attempt, 20));
			long waitMillis = backoff.nextMillis();
			Assert.assertTrue(waitMillis >= 1 && waitMillis <= bound, "wait of " + waitMillis);
		}
	}

	static Hop hop(String id) {
		return new Hop(id, "at-" + id);
	}

	private static Placement.ChildState child(String id, String failureDomain, int nodes) {
		return new Placement.ChildState(hop(id), failureDomain, nodes);
	}

}
