package io.lavenderroad.node;

import java.util.List;
import java.util.OptionalLong;

import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.EndpointState;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against requests for a backend server that has not announced itself, that has
 * announced that it is leaving, or that was replaced by another one at the same address,
 * in any order of announcements.
 */
public class BackendRegistrationTests {

	private static final long ANNOUNCEMENT_MILLIS = 1_500;

	private long nowMillis;

	private long timeOfDayMillis;

	private Endpoint published;

	private BackendRegistration registration;

	@BeforeMethod
	void start() {
		this.nowMillis = 50_000;
		this.timeOfDayMillis = 50_000;
		this.published = new Endpoint("node-1", 1, 0, EndpointState.DRAINING, "catalogue", "", "gauteng", "germiston",
				"127.0.0.1:1", 1, 100, "");
		this.registration = new BackendRegistration(() -> this.nowMillis, () -> this.timeOfDayMillis, "catalogue",
				6_000, (change) -> this.published = change.apply(this.published));
	}

	@Test
	public void nothingIsServedBeforeTheFirstAnnouncement() {
		Assert.assertFalse(this.registration.serves("catalogue", "v1"));
		this.registration.announce(announcement("i-1", 10, 1, false));
		Assert.assertTrue(this.registration.serves("catalogue", "v1"));
		Assert.assertFalse(this.registration.serves("catalogue", "v2"));
		Assert.assertEquals(this.published.state(), EndpointState.READY);
		Assert.assertEquals(this.published.slots(), 12);
	}

	@Test
	public void silentServerCountsAsColdUntilASecondAnnouncement() {
		this.registration.announce(announcement("i-1", 10, 1, false));
		Assert.assertFalse(this.registration.isCold());
		this.nowMillis += 6_001;
		this.registration.poll();
		this.registration.announce(announcement("i-1", 10, 2, false));
		Assert.assertTrue(this.registration.isCold(), "the announcement may be older than the silence");
		Assert.assertEquals(this.published.state(), EndpointState.COLD);
		this.registration.announce(announcement("i-1", 10, 3, false));
		Assert.assertFalse(this.registration.isCold());
	}

	@Test
	public void leavingIsFinalWithinOneStart() {
		this.registration.announce(announcement("i-1", 10, 1, false));
		this.registration.announce(announcement("i-1", 10, 3, true));
		Assert.assertFalse(this.registration.serves("catalogue", "v1"));
		this.registration.announce(announcement("i-1", 10, 2, false));
		this.registration.announce(announcement("i-1", 10, 4, false));
		Assert.assertFalse(this.registration.serves("catalogue", "v1"), "ready again within one start");
		Assert.assertEquals(this.published.state(), EndpointState.DRAINING);
		this.registration.announce(announcement("i-1", 20, 1, false));
		Assert.assertTrue(this.registration.serves("catalogue", "v1"), "a new start under the same id");
	}

	@Test
	public void announcementsOfAnEarlierStartChangeNothing() {
		this.registration.announce(announcement("i-2", 20, 1, false));
		this.registration.announce(announcement("i-1", 10, 9, true));
		this.registration.deregister("i-1", OptionalLong.of(10));
		this.registration.deregister("i-2", OptionalLong.of(10));
		Assert.assertTrue(this.registration.serves("catalogue", "v1"));
		Assert.assertEquals(this.registration.backendId(), "i-2");
		this.registration.deregister("i-2", OptionalLong.empty());
		Assert.assertFalse(this.registration.serves("catalogue", "v1"));
	}

	@Test
	public void backendServerOfAnotherServiceIsNotUsed() {
		this.registration.announce(new BackendAnnouncement("i-1", 10, 1, "counter", "v1", 12, false, 0));
		Assert.assertFalse(this.registration.serves("counter", "v1"));
	}

	@Test
	public void backendServerIsUsedAgainSoonAfterAnEntryByAnotherWriterUnderItsId() {
		for (BackendAnnouncement entry : List.of(announcement("i-1", 1L << 50, 1L << 50, true),
				announcement("i-1", 10, 1L << 50, true), announcement("i-9", 1L << 50, 1, false))) {
			start();
			announceRegularly(1, 4);
			this.registration.announce(entry);
			announceRegularly(5, 7);
			Assert.assertTrue(this.registration.serves("catalogue", "v1"), entry.toString());
			Assert.assertEquals(this.registration.backendId(), "i-1");
		}
	}

	@Test
	public void delayedAnnouncementsDoNotUndoThatABackendServerLeaves() {
		this.registration.announce(announcement("i-1", 10, 9, true));
		for (int sequence = 1; sequence <= 8; sequence++) {
			this.registration.announce(announcement("i-1", 10, sequence, false));
		}
		Assert.assertFalse(this.registration.serves("catalogue", "v1"), "delayed ones that arrive together");
		for (int sequence = 1; sequence <= 8; sequence++) {
			this.nowMillis += ANNOUNCEMENT_MILLIS;
			this.registration.announce(announcement("i-1", 10, sequence, false));
			this.registration.announce(announcement("i-1", 10, 9 + sequence, true));
		}
		Assert.assertFalse(this.registration.serves("catalogue", "v1"), "delayed ones beside newer ones");
	}

	/**
	 * Guards against the same delayed announcements after the backend server has stopped
	 * announcing itself: their number says nothing.
	 */
	@Test
	public void delayedAnnouncementsAloneDoNotUndoThatABackendServerLeaves() {
		this.registration.announce(announcement("i-1", 10, 9, true));
		announceRegularly(1, 8);
		Assert.assertFalse(this.registration.serves("catalogue", "v1"));
	}

	/**
	 * Guards against a restarted node that acknowledges the deregistration of a backend
	 * server which it does not know yet, and registers it again by a delayed
	 * announcement.
	 */
	@Test
	public void deregistrationOfAnUnknownBackendServerEndsItsStart() {
		this.registration.deregister("i-1", OptionalLong.of(10));
		announceRegularly(1, 8);
		Assert.assertFalse(this.registration.serves("catalogue", "v1"), "the start that has ended");
		this.registration.announce(announcement("i-1", 11, 1, false));
		Assert.assertTrue(this.registration.serves("catalogue", "v1"), "a later start under the same id");
	}

	@Test
	public void deregistrationWithoutAStartEndsAllStartsUpToNow() {
		this.registration.deregister("i-1", OptionalLong.empty());
		announceRegularly(1, 8);
		Assert.assertFalse(this.registration.serves("catalogue", "v1"), "a start before the deregistration");
		this.registration.announce(announcement("i-1", 50_001, 1, false));
		Assert.assertTrue(this.registration.serves("catalogue", "v1"), "a start after it");
	}

	@Test
	public void startAfterTheTimeOfDayWasSetBackIsUsedOnceNoDelayedAnnouncementCanArrive() {
		this.registration.deregister("i-1", OptionalLong.empty());
		this.timeOfDayMillis -= 5_000;
		this.registration.announce(announcement("i-1", 46_000, 1, false));
		Assert.assertFalse(this.registration.serves("catalogue", "v1"));
		this.nowMillis += BackendRegistration.MAXIMUM_DELAY_MILLIS;
		this.registration.announce(announcement("i-1", 46_000, 2, false));
		Assert.assertTrue(this.registration.serves("catalogue", "v1"));
	}

	/**
	 * Guards against announcements that are late, overtaken by the deregistration, and
	 * taken for a sign that the backend server goes on.
	 */
	@Test
	public void delayedAnnouncementsAfterADeregistrationChangeNothing() {
		this.registration.announce(announcement("i-1", 10, 4, false));
		this.registration.deregister("i-1", OptionalLong.of(10));
		announceRegularly(1, 3);
		announceRegularly(5, 40);
		Assert.assertFalse(this.registration.serves("catalogue", "v1"));
		Assert.assertEquals(this.published.state(), EndpointState.DRAINING);
	}

	@Test
	public void announcementsThatNoBackendServerOnThisVmCanHaveSentAreRefused() {
		Assert.assertEquals(this.registration.announce(announcement("i-1", 1L << 50, 1, false)).kind(),
				AnnouncementOutcome.Kind.REFUSED);
		Assert.assertEquals(this.registration.announce(announcement("i-1", 10, 1L << 50, false)).kind(),
				AnnouncementOutcome.Kind.REFUSED);
		Assert.assertFalse(this.registration.serves("catalogue", "v1"));
		this.registration.deregister("i-1", OptionalLong.of(1L << 50));
		Assert.assertEquals(this.registration.announce(announcement("i-1", 10, 1, false)),
				AnnouncementOutcome.ACKNOWLEDGED);
		Assert.assertTrue(this.registration.serves("catalogue", "v1"));
	}

	/**
	 * Guards against an entry by another writer with values that a backend server could
	 * send, which keeps the running one out for good.
	 */
	@Test
	public void backendServerThatGoesOnAnnouncingOutlivesAPossibleEntryByAnotherWriter() {
		for (BackendAnnouncement entry : List.of(announcement("i-1", 10, 1_000, true),
				announcement("i-9", 40_000, 1, false))) {
			start();
			announceRegularly(1, 4);
			this.registration.announce(entry);
			int delayed = (int) (BackendRegistration.MAXIMUM_DELAY_MILLIS / ANNOUNCEMENT_MILLIS);
			announceRegularly(5, 4 + delayed + SupersededAnnouncements.MINIMUM_ANNOUNCEMENTS);
			Assert.assertTrue(this.registration.serves("catalogue", "v1"), entry.toString());
			Assert.assertEquals(this.registration.backendId(), "i-1");
		}
	}

	@DataProvider
	Object[][] entriesOfAnotherWriter() {
		return new Object[][] { { announcement("i-1", 10, 900_000, false) }, { announcement("i-1", 10, 6, false) },
				{ announcement("i-1", 40_000, 1, false) }, { announcement("i-1", 49_000, 900_000, false) } };
	}

	/**
	 * Guards against a departure that is acknowledged and not applied, because an entry
	 * of another writer seems to be newer, or a start before the time of day was set
	 * back.
	 * @param entry the entry
	 */
	@Test(dataProvider = "entriesOfAnotherWriter")
	public void acknowledgedDepartureIsInForceWhateverAnnouncementIsCurrent(BackendAnnouncement entry) {
		announceRegularly(1, 4);
		this.registration.announce(entry);
		Assert.assertTrue(this.registration.serves("catalogue", "v1"));
		Assert.assertEquals(this.registration.announce(announcement("i-1", 10, 5, true)),
				AnnouncementOutcome.ACKNOWLEDGED);
		Assert.assertFalse(this.registration.serves("catalogue", "v1"));
		Assert.assertEquals(this.published.state(), EndpointState.DRAINING);
		for (int sequence = 6; sequence < 20; sequence++) {
			this.nowMillis += ANNOUNCEMENT_MILLIS;
			this.registration.announce(announcement("i-1", 10, sequence, true));
			Assert.assertFalse(this.registration.serves("catalogue", "v1"), "after " + sequence);
		}
	}

	@Test(dataProvider = "entriesOfAnotherWriter")
	public void acknowledgedDeregistrationIsInForceWhateverAnnouncementIsCurrent(BackendAnnouncement entry) {
		announceRegularly(1, 4);
		this.registration.announce(entry);
		AnnouncementOutcome outcome = this.registration.deregister("i-1", OptionalLong.of(10));
		boolean used = this.registration.serves("catalogue", "v1");
		Assert.assertEquals(outcome.equals(AnnouncementOutcome.ACKNOWLEDGED), !used);
		this.nowMillis += 6_001;
		this.registration.poll();
		Assert.assertEquals(this.registration.deregister("i-1", OptionalLong.of(10)), AnnouncementOutcome.ACKNOWLEDGED);
		announceRegularly(5, 12);
		Assert.assertFalse(this.registration.serves("catalogue", "v1"));
	}

	// The late announcement of an earlier start under the same id looks the same.
	@Test
	public void soundStartIsUsedAgainWithItsNextAnnouncement() {
		this.registration.announce(announcement("i-1", 40_000, 1, false));
		this.registration.announce(announcement("i-1", 10, 9, true));
		this.nowMillis += ANNOUNCEMENT_MILLIS;
		this.registration.announce(announcement("i-1", 40_000, 2, false));
		Assert.assertTrue(this.registration.serves("catalogue", "v1"));
	}

	@DataProvider
	Object[][] entriesThatDisplace() {
		return new Object[][] { { announcement("i-1", 10, 1_000, true) }, { announcement("i-1", 10, 900_000, true) },
				{ announcement("i-1", 10, 5, true) }, { announcement("i-1", 10, 4, true) },
				{ announcement("i-1", 10, 900_000, false) }, { announcement("i-9", 40_000, 1, false) },
				{ announcement("i-9", 40_000, 1, true) }, { announcement("i-1", 40_000, 1, false) } };
	}

	/**
	 * Guards against an entry of another writer that keeps a sound backend server out of
	 * use for longer than two of its own announcements.
	 * @param entry the entry
	 */
	@Test(dataProvider = "entriesThatDisplace")
	public void soundBackendServerIsUsedAfterTwoOfItsOwnAnnouncements(BackendAnnouncement entry) {
		announceRegularly(1, 4);
		this.nowMillis += ANNOUNCEMENT_MILLIS / 2;
		this.registration.announce(entry);
		announceRegularly(5, (entry.sequence() == 5) ? 7 : 6);
		for (int sequence = 8; sequence < 40; sequence++) {
			Assert.assertTrue(this.registration.serves("catalogue", "v1"), entry + " before " + sequence);
			Assert.assertEquals(this.registration.backendId(), "i-1");
			this.nowMillis += ANNOUNCEMENT_MILLIS;
			this.registration.poll();
			this.registration.announce(announcement("i-1", 10, sequence, false));
		}
		Assert.assertEquals(this.registration.announce(announcement("i-1", 10, 40, true)),
				AnnouncementOutcome.ACKNOWLEDGED);
		Assert.assertFalse(this.registration.serves("catalogue", "v1"));
	}

	/**
	 * Guards against an entry that is undone by what a backend server sent before it
	 * left.
	 */
	@Test
	public void announcementsFromBeforeADepartureDoNotUndoIt() {
		for (int delayed = 1; delayed <= 20; delayed++) {
			start();
			announceRegularly(1, 4);
			this.registration.announce(announcement("i-1", 10, 5 + delayed, true));
			announceRegularly(5, 4 + delayed);
			Assert.assertFalse(this.registration.serves("catalogue", "v1"), delayed + " delayed announcements");
		}
		start();
		announceRegularly(1, 4);
		this.registration.announce(announcement("i-1", 10, 900_000, true));
		this.registration.deregister("i-1", OptionalLong.of(10));
		announceRegularly(5, 30);
		Assert.assertFalse(this.registration.serves("catalogue", "v1"), "deregistered");
	}

	@Test
	public void unresponsiveBackendServerGetsNoWorkUntilItsNextAnnouncement() {
		this.registration.announce(announcement("i-1", 10, 1, false));
		this.nowMillis += 6_001;
		this.registration.poll();
		Assert.assertFalse(this.registration.serves("catalogue", "v1"));
		this.registration.announce(announcement("i-1", 10, 2, false));
		Assert.assertTrue(this.registration.serves("catalogue", "v1"));
		this.registration.unreachable();
		Assert.assertFalse(this.registration.serves("catalogue", "v1"));
	}

	private void announceRegularly(int firstSequence, int lastSequence) {
		for (int sequence = firstSequence; sequence <= lastSequence; sequence++) {
			this.nowMillis += ANNOUNCEMENT_MILLIS;
			this.registration.announce(announcement("i-1", 10, sequence, false));
		}
	}

	private static BackendAnnouncement announcement(String id, long startedMillis, long sequence, boolean leaving) {
		return new BackendAnnouncement(id, startedMillis, sequence, "catalogue", "v1", 12, leaving, 0);
	}

}
