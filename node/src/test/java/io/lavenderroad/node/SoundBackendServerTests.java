package io.lavenderroad.node;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.EndpointState;
import io.lavenderroad.model.departure.Departure;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a sound backend server that gets work later than with its first
 * announcement, because departures are kept.
 */
public class SoundBackendServerTests {

	private static final long ANNOUNCEMENT_MILLIS = 1_500;

	private final List<Departure> kept = new ArrayList<>();

	private long nowMillis;

	private Endpoint published;

	private BackendRegistration registration;

	@BeforeMethod
	void start() {
		this.kept.clear();
		this.nowMillis = 50_000;
		startNode(this.kept);
	}

	@Test
	public void startIsUsedWithItsFirstAnnouncement() {
		assertUsedAtOnce("i-1", 49_000);
	}

	// The machine of a backend server is replaced: another VM, whose node keeps nothing.
	@Test
	public void serverOnAReplacedMachineIsUsedWithItsFirstAnnouncement() {
		assertUsedAtOnce("i-1", 40_000);
		Assert.assertEquals(this.registration.announce(announcement("i-1", 40_000, 2, true)),
				AnnouncementOutcome.ACKNOWLEDGED);
		startNode(List.of());
		assertUsedAtOnce("i-2", 49_000);
		startNode(List.of());
		assertUsedAtOnce("i-1", 49_500);
	}

	// A release ends one backend server after the other and starts the next on the VM.
	@Test
	public void eachServerOfAReleaseIsUsedWithItsFirstAnnouncement() {
		for (int release = 0; release < 40; release++) {
			String id = "i-" + release % 3;
			long startedMillis = this.nowMillis - 100;
			assertUsedAtOnce(id, startedMillis);
			this.nowMillis += ANNOUNCEMENT_MILLIS;
			Assert.assertEquals(this.registration.announce(announcement(id, startedMillis, 3, true)),
					AnnouncementOutcome.ACKNOWLEDGED);
			this.registration.announce(announcement(id, startedMillis, 2, false));
			Assert.assertFalse(isUsed(), "leaving");
			this.nowMillis += ANNOUNCEMENT_MILLIS;
			Assert.assertEquals(this.registration.deregister(id, OptionalLong.of(startedMillis)),
					AnnouncementOutcome.ACKNOWLEDGED);
		}
	}

	// In a rolling restart the process of the node ends and starts beside its server.
	@Test
	public void serverIsUsedAgainWithItsNextAnnouncementAfterEachRestartOfItsNode() {
		assertUsedAtOnce("i-1", 40_000);
		this.registration.announce(announcement("i-1", 40_000, 2, true));
		this.registration.deregister("i-1", OptionalLong.of(40_000));
		assertUsedAtOnce("i-2", 49_000);
		for (int sequence = 2; sequence < 20; sequence++) {
			startNode(this.kept);
			this.nowMillis += ANNOUNCEMENT_MILLIS;
			this.registration.announce(announcement("i-2", 49_000, sequence, false));
			Assert.assertTrue(isUsed(), "announcement " + sequence);
		}
	}

	private void assertUsedAtOnce(String id, long startedMillis) {
		Assert.assertEquals(this.registration.announce(announcement(id, startedMillis, 1, false)),
				AnnouncementOutcome.ACKNOWLEDGED);
		Assert.assertTrue(isUsed(), id + " started at " + startedMillis);
		Assert.assertEquals(this.registration.backendId(), id);
		Assert.assertEquals(this.published.state(), EndpointState.READY);
	}

	private boolean isUsed() {
		return this.registration.serves("catalogue", "v1");
	}

	private void startNode(List<Departure> earlier) {
		this.published = new Endpoint("node-1", 1, 0, EndpointState.DRAINING, "catalogue", "", "gauteng", "germiston",
				"127.0.0.1:1", 1, 100, "");
		this.registration = new BackendRegistration(() -> this.nowMillis, () -> this.nowMillis, "catalogue", 6_000,
				(change) -> this.published = change.apply(this.published));
		this.registration.keepDepartures((departure, timeoutMillis) -> this.kept.add(departure));
		this.registration.departuresKnown(List.copyOf(earlier));
	}

	private static BackendAnnouncement announcement(String id, long startedMillis, long sequence, boolean leaving) {
		return new BackendAnnouncement(id, startedMillis, sequence, "catalogue", "v1", 12, leaving, 0);
	}

}
