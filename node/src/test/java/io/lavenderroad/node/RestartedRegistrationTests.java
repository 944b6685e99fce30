package io.lavenderroad.node;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.EndpointState;
import io.lavenderroad.model.departure.Departure;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against requests for a backend server that has left, after its node has ended
 * and started again without a disk, and against a restarted node that uses a sound
 * backend server late or not at all.
 */
public class RestartedRegistrationTests {

	private static final long ANNOUNCEMENT_MILLIS = 1_500;

	/**
	 * What the control group keeps, beyond the end of a process.
	 */
	private final List<Departure> kept = new ArrayList<>();

	private boolean available;

	private long nowMillis;

	private long timeOfDayMillis;

	private Endpoint published;

	private BackendRegistration registration;

	@BeforeMethod
	void start() {
		this.kept.clear();
		this.available = true;
		this.nowMillis = 50_000;
		this.timeOfDayMillis = 50_000;
		restart();
	}

	@DataProvider
	Object[][] departures() {
		return new Object[][] { { Departure.Kind.DRAINING }, { Departure.Kind.DEREGISTERED },
				{ Departure.Kind.DEREGISTERED_WITHOUT_START } };
	}

	@Test(dataProvider = "departures")
	public void delayedAnnouncementsDoNotBringBackABackendServer(Departure.Kind kind) {
		this.registration.announce(announcement("i-1", 10, 1, false));
		Assert.assertEquals(depart("i-1", 10, kind), AnnouncementOutcome.ACKNOWLEDGED);
		for (int restarts = 0; restarts < 3; restarts++) {
			restart();
			announceRegularly("i-1", 10, 2, 8);
			Assert.assertFalse(isUsed(), "after restart " + restarts);
			Assert.assertEquals(this.published.state(), EndpointState.DRAINING);
		}
		this.registration.announce(announcement("i-1", 70_000, 1, false));
		Assert.assertTrue(isUsed(), "a later start under the same id");
	}

	@Test(dataProvider = "departures")
	public void delayedAnnouncementsThatWaitForTheDeparturesDoNotCount(Departure.Kind kind) {
		this.registration.announce(announcement("i-1", 10, 1, false));
		depart("i-1", 10, kind);
		this.available = false;
		restart();
		announceRegularly("i-1", 10, 2, 8);
		this.available = true;
		this.registration.departuresKnown(this.kept);
		Assert.assertFalse(isUsed());
	}

	@Test(dataProvider = "departures")
	public void departureOfABackendServerThatTheProcessDoesNotKnowIsKept(Departure.Kind kind) {
		Assert.assertEquals(depart("i-1", 10, kind), AnnouncementOutcome.ACKNOWLEDGED);
		restart();
		announceRegularly("i-1", 10, 2, 8);
		Assert.assertFalse(isUsed());
	}

	@Test(dataProvider = "departures")
	public void departureThatIsNotKeptIsNotAcknowledgedButTakesEffect(Departure.Kind kind) {
		this.registration.announce(announcement("i-1", 10, 1, false));
		this.available = false;
		Assert.assertEquals(depart("i-1", 10, kind).kind(), AnnouncementOutcome.Kind.UNCONFIRMED);
		Assert.assertFalse(isUsed());
		this.available = true;
		Assert.assertEquals(depart("i-1", 10, kind), AnnouncementOutcome.ACKNOWLEDGED);
	}

	@Test
	public void soundBackendServerNeedsNoSecondAnnouncement() {
		this.registration.announce(announcement("i-1", 10, 7, false));
		this.available = false;
		restart();
		Assert.assertEquals(this.registration.announce(announcement("i-1", 10, 8, false)),
				AnnouncementOutcome.ACKNOWLEDGED);
		Assert.assertFalse(isUsed(), "its departure may have been kept");
		this.registration.departuresKnown(this.kept);
		Assert.assertTrue(isUsed());
		Assert.assertEquals(this.published.state(), EndpointState.READY);
	}

	@Test
	public void newestAnnouncementCountsAmongThoseThatWaited() {
		this.available = false;
		restart();
		announceRegularly("i-1", 10, 1, 40);
		this.registration.announce(announcement("i-2", 20, 1, false));
		this.registration.announce(announcement("i-1", 10, 41, false));
		this.registration.departuresKnown(this.kept);
		Assert.assertEquals(this.registration.backendId(), "i-2");
	}

	@Test
	public void departureBeforeTheDeparturesAreKnownTakesEffectAtOnce() {
		this.available = false;
		restart();
		this.registration.announce(announcement("i-1", 10, 1, false));
		depart("i-1", 10, Departure.Kind.DEREGISTERED);
		this.registration.departuresKnown(this.kept);
		Assert.assertFalse(isUsed());
	}

	@Test(dataProvider = "departures")
	public void successorOnTheVmIsUsedInSpiteOfDelayedAnnouncements(Departure.Kind kind) {
		depart("i-1", 10, kind);
		this.registration.announce(announcement("i-2", 20, 1, false));
		Assert.assertTrue(isUsed());
		restart();
		announceRegularly("i-1", 10, 2, 3);
		Assert.assertFalse(isUsed());
		this.registration.announce(announcement("i-2", 20, 2, false));
		announceRegularly("i-1", 10, 4, 8);
		Assert.assertTrue(isUsed());
		Assert.assertEquals(this.registration.backendId(), "i-2");
	}

	/**
	 * A new start seems to be earlier than the one that left.
	 * @param kind how the earlier one left
	 */
	@Test(dataProvider = "departures")
	public void startAfterTheTimeOfDayWasSetBackIsUsedOnceNoDelayedAnnouncementCanArrive(Departure.Kind kind) {
		depart("i-1", 45_000, kind);
		this.timeOfDayMillis -= 20_000;
		restart();
		announceRegularly("i-1", 40_000, 1, 19);
		Assert.assertFalse(isUsed(), "may be an earlier start");
		announceRegularly("i-1", 40_000, 20, 20);
		Assert.assertTrue(isUsed());
	}

	/**
	 * Another writer has announced under the id of a running backend server that it
	 * drains. The entry is kept, but must not keep the backend server out for good.
	 */
	@Test
	public void backendServerThatGoesOnAnnouncingIsUsedAfterARestart() {
		announceRegularly("i-1", 10, 1, 4);
		depart("i-1", 10, Departure.Kind.DRAINING);
		restart();
		announceRegularly("i-1", 10, 5, 24);
		Assert.assertTrue(isUsed());
	}

	/**
	 * Announcements after a departure end a false one, but never a deregistration that an
	 * earlier process kept.
	 */
	@Test
	public void deregistrationOfAnEarlierProcessIsFinalAfterALateDeparture() {
		depart("i-1", 10, Departure.Kind.DEREGISTERED);
		this.available = false;
		restart();
		this.registration.announce(announcement("i-1", 10, 9, true));
		this.registration.departuresKnown(this.kept);
		announceRegularly("i-1", 10, 10, 40);
		Assert.assertFalse(isUsed());
	}

	@Test
	public void serverThatDrainsIsAcknowledgedAgainAfterARestart() {
		this.registration.announce(announcement("i-1", 10, 1, false));
		depart("i-1", 10, Departure.Kind.DRAINING);
		restart();
		Assert.assertEquals(this.registration.announce(announcement("i-1", 10, 9, true)),
				AnnouncementOutcome.ACKNOWLEDGED);
		announceRegularly("i-1", 10, 2, 8);
		Assert.assertFalse(isUsed());
		Assert.assertEquals(this.kept.size(), 1);
	}

	private void restart() {
		this.published = new Endpoint("node-1", 1, 0, EndpointState.DRAINING, "catalogue", "", "gauteng", "germiston",
				"127.0.0.1:1", 1, 100, "");
		this.registration = new BackendRegistration(() -> this.nowMillis, () -> this.timeOfDayMillis, "catalogue",
				6_000, (change) -> this.published = change.apply(this.published));
		this.registration.keepDepartures((departure, timeoutMillis) -> keep(departure));
		if (this.available) {
			this.registration.departuresKnown(this.kept);
		}
	}

	private boolean keep(Departure departure) {
		if (this.available && !this.kept.contains(departure)) {
			this.kept.add(departure);
		}
		return this.available;
	}

	private AnnouncementOutcome depart(String id, long startedMillis, Departure.Kind kind) {
		return switch (kind) {
			case DRAINING -> this.registration.announce(announcement(id, startedMillis, 9, true));
			case DEREGISTERED -> this.registration.deregister(id, OptionalLong.of(startedMillis));
			case DEREGISTERED_WITHOUT_START -> this.registration.deregister(id, OptionalLong.empty());
		};
	}

	private void announceRegularly(String id, long startedMillis, int firstSequence, int lastSequence) {
		for (int sequence = firstSequence; sequence <= lastSequence; sequence++) {
			this.nowMillis += ANNOUNCEMENT_MILLIS;
			this.registration.announce(announcement(id, startedMillis, sequence, false));
		}
	}

	private boolean isUsed() {
		return this.registration.serves("catalogue", "v1");
	}

	private static BackendAnnouncement announcement(String id, long startedMillis, long sequence, boolean leaving) {
		return new BackendAnnouncement(id, startedMillis, sequence, "catalogue", "v1", 12, leaving, 0);
	}

}
