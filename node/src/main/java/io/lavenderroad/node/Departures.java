package io.lavenderroad.node;

import java.util.ArrayList;
import java.util.List;

import io.lavenderroad.core.Clock;
import io.lavenderroad.model.departure.Departure;
import io.lavenderroad.model.departure.Departure.Kind;

/**
 * Remembers which starts of backend servers have left this VM, so that announcements that
 * were sent before and arrive late do not bring them back. This includes backend servers
 * that this process has not heard of, for example because it was restarted. Not
 * thread-safe.
 */
final class Departures {

	/**
	 * Maximum number of departures that are remembered. One backend server runs on a VM
	 * at a time.
	 */
	private static final int MAXIMUM_DEPARTURES = 16;

	private final Clock clock;

	private final long maximumDelayMillis;

	private final List<Entry> entries = new ArrayList<>();

	/**
	 * Creates a record without departures.
	 * @param clock source of time that never runs backwards
	 * @param maximumDelayMillis how late an announcement may arrive
	 */
	Departures(Clock clock, long maximumDelayMillis) {
		this.clock = clock;
		this.maximumDelayMillis = maximumDelayMillis;
	}

	/**
	 * Records a departure that was announced until now.
	 * @param departure the departure
	 */
	void add(Departure departure) {
		this.entries.removeIf((entry) -> entry.departure().equals(departure));
		this.entries.add(new Entry(departure, this.clock.millis() + this.maximumDelayMillis));
		if (this.entries.size() > MAXIMUM_DEPARTURES) {
			this.entries.removeFirst();
		}
	}

	/**
	 * Forgets that a start drains, since it goes on: another writer has announced it.
	 * @param backendId id of the backend server
	 * @param startedMillis start of the backend server
	 */
	void removeDraining(String backendId, long startedMillis) {
		Departure departure = new Departure(backendId, startedMillis, Kind.DRAINING);
		this.entries.removeIf((entry) -> entry.departure().equals(departure));
	}

	/**
	 * Returns whether an announcement does not count, because its start has left.
	 * @param announcement the announcement
	 * @return true if it must be ignored
	 */
	boolean contains(BackendAnnouncement announcement) {
		return this.entries.stream().anyMatch((entry) -> covers(entry, announcement));
	}

	/**
	 * A start that has deregistered never returns. A later start may seem earlier if the
	 * time of day was set back, so earlier starts are ignored only while announcements
	 * from before the departure can arrive. The same holds for a start that drains, since
	 * another writer may have announced that.
	 * @param entry a departure
	 * @param announcement an announcement
	 * @return true if the announcement must be ignored
	 */
	private boolean covers(Entry entry, BackendAnnouncement announcement) {
		Departure departure = entry.departure();
		if (!departure.backendId().equals(announcement.backendId())) {
			return false;
		}
		if (departure.kind() == Kind.DEREGISTERED && announcement.startedMillis() == departure.startedMillis()) {
			return true;
		}
		boolean goesOnDraining = departure.kind() == Kind.DRAINING && announcement.leaving();
		return !goesOnDraining && announcement.startedMillis() <= departure.startedMillis()
				&& this.clock.millis() < entry.delayedUntilMillis();
	}

	/**
	 * A departure.
	 *
	 * @param departure the departure
	 * @param delayedUntilMillis time until which announcements from before it may arrive,
	 * milliseconds of the clock
	 */
	private record Entry(Departure departure, long delayedUntilMillis) {

	}

}
