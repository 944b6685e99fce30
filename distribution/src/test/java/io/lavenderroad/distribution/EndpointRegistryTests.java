package io.lavenderroad.distribution;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.EndpointState;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against registries that differ after the same announcements, expired entries
 * that are restored, endpoints that never expire, and unbounded growth.
 */
public class EndpointRegistryTests {

	private static final long TEN_MINUTES = 10 * 60 * 1_000;

	@Test
	public void orderOfAnnouncementsDoesNotMatter() {
		Random random = new Random(20261204);
		List<Endpoint> announcements = new ArrayList<>();
		for (int index = 0; index < 300; index++) {
			EndpointState state = EndpointState.values()[random.nextInt(4)];
			announcements.add(endpoint("node-" + random.nextInt(20), random.nextInt(3), index, state, "service"));
		}
		EndpointRegistry first = new EndpointRegistry();
		first.merge(announcements, false, 0);
		for (int run = 0; run < 20; run++) {
			Collections.shuffle(announcements, random);
			EndpointRegistry other = new EndpointRegistry();
			announcements.forEach((endpoint) -> other.merge(List.of(endpoint), false, 0));
			Assert.assertEquals(other.unexpired("service"), first.unexpired("service"));
			Assert.assertEquals(other.digest((service) -> true), first.digest((service) -> true));
		}
	}

	@Test
	public void expiredEntryIsReplacedOnlyByNewerAnnouncement() {
		EndpointRegistry registry = new EndpointRegistry();
		Endpoint ready = endpoint("node-1", 5, 1, EndpointState.READY, "a");
		registry.merge(List.of(ready), true, 0);
		registry.merge(List.of(ready.withState(EndpointState.EXPIRED)), true, 0);
		Assert.assertTrue(registry.merge(List.of(ready), true, 0).isEmpty());
		registry.removeExpired(TEN_MINUTES);
		Assert.assertTrue(registry.merge(List.of(ready), true, TEN_MINUTES).isEmpty());
		Assert.assertTrue(registry.unexpired("a").isEmpty());
		Assert.assertEquals(registry.merge(List.of(ready.next(EndpointState.READY, "relay")), true, 0).size(), 1);
	}

	@Test
	public void expiredEntriesAreRemovedAfterTenMinutes() {
		EndpointRegistry registry = new EndpointRegistry();
		registry.merge(List.of(endpoint("node-1", 5, 1, EndpointState.EXPIRED, "a"),
				endpoint("node-2", 5, 1, EndpointState.READY, "a")), true, 0);
		registry.removeExpired(TEN_MINUTES + 1);
		Assert.assertEquals(registry.entries().size(), 1);
		Assert.assertEquals(registry.unexpired().size(), 1);
	}

	@Test
	public void nodeThatChangesItsServiceIsRemovedFromTheOldOne() {
		EndpointRegistry registry = new EndpointRegistry();
		registry.merge(List.of(endpoint("node-1", 5, 1, EndpointState.READY, "a")), true, 0);
		List<Endpoint> updates = registry.merge(List.of(endpoint("node-1", 6, 1, EndpointState.READY, "b")), true, 0);
		Assert.assertTrue(registry.unexpired("a").isEmpty());
		Assert.assertEquals(registry.unexpired("b").size(), 1);
		Assert.assertEquals(updates.stream().map(Endpoint::service).toList(), List.of("a", "b"));
		Assert.assertEquals(updates.getFirst().state(), EndpointState.EXPIRED);
	}

	@Test
	public void entryUnknownToTheParentExpiresUnlessConfirmed() {
		EndpointRegistry registry = new EndpointRegistry();
		Endpoint unknown = endpoint("node-1", 5, 1, EndpointState.READY, "a");
		Endpoint confirmed = endpoint("node-2", 5, 1, EndpointState.READY, "a");
		Endpoint local = endpoint("node-3", 5, 1, EndpointState.READY, "a");
		registry.merge(List.of(unknown, confirmed), false, 0);
		registry.merge(List.of(local), true, 0);
		registry.markUnconfirmed((service) -> true, 1);
		registry.clearUnconfirmed();
		Assert.assertTrue(registry.unconfirmed(TEN_MINUTES).isEmpty(), "the new parent may have the entries");
		registry.markUnconfirmed((service) -> true, 1);
		registry.merge(List.of(confirmed), false, 2);
		Assert.assertTrue(registry.unconfirmed(TreeTimes.UNCONFIRMED_RETENTION_MILLIS).isEmpty());
		Assert.assertEquals(registry.unconfirmed(TreeTimes.UNCONFIRMED_RETENTION_MILLIS + 2),
				List.of(unknown.withState(EndpointState.EXPIRED)));
	}

	@Test
	public void leaseExpiresAfterThreeSecondsUnlessTheNodeReattaches() {
		LeaseTable leases = new LeaseTable();
		leases.connectionLost("a", 0);
		leases.connectionLost("b", 0);
		leases.attached("b");
		Assert.assertEquals(leases.takeExpired(2_999), List.of());
		Assert.assertEquals(leases.takeExpired(3_000), List.of("a"));
		Assert.assertEquals(leases.takeExpired(9_000), List.of());
	}

	@Test
	public void endpointsOfLostParentExpireAfterFiveSeconds() {
		OrphanSweep sweep = new OrphanSweep();
		EndpointRegistry registry = new EndpointRegistry();
		Endpoint orphan = endpoint("node-1", 5, 1, EndpointState.READY, "a");
		registry.merge(List.of(orphan), true, 0);
		Assert.assertTrue(sweep.expired(registry.entries(), (id) -> false, 0).isEmpty());
		Assert.assertTrue(sweep.expired(registry.entries(), (id) -> true, 4_000).isEmpty());
		Assert.assertTrue(sweep.expired(registry.entries(), (id) -> false, 6_000).isEmpty(),
				"the parent was connected in between");
		Assert.assertEquals(sweep.expired(registry.entries(), (id) -> false, 11_000),
				List.of(orphan.withState(EndpointState.EXPIRED)));
	}

	@Test
	public void endpointsOfRestartedParentExpireUnlessAnnouncedAgain() {
		OrphanSweep sweep = new OrphanSweep();
		EndpointRegistry registry = new EndpointRegistry();
		Endpoint stale = endpoint("node-1", 5, 1, EndpointState.READY, "a");
		Endpoint alive = endpoint("node-2", 5, 1, EndpointState.READY, "a");
		Endpoint relay = endpoint("relay", 5, 1, EndpointState.READY, "a");
		registry.merge(List.of(stale, alive, relay), true, 0);
		registry.merge(List.of(endpoint("relay", 6, 1, EndpointState.READY, "a")), true, 1_000);
		registry.merge(List.of(alive.next(EndpointState.READY, "relay")), true, 2_000);
		Assert.assertTrue(sweep.expired(registry.entries(), (id) -> true, 5_999).isEmpty());
		Assert.assertEquals(sweep.expired(registry.entries(), (id) -> true, 6_000),
				List.of(stale.withState(EndpointState.EXPIRED)));
	}

	static Endpoint endpoint(String nodeId, long incarnation, long sequence, EndpointState state, String service) {
		return new Endpoint(nodeId, incarnation, sequence, state, service, "v1", "region", "east", "127.0.0.1:1", 12,
				100, "relay");
	}

}
