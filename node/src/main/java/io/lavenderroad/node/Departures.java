package io.lavenderroad.node;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

import io.lavenderroad.core.Clock;

/**
 * Remembers which starts of backend servers have ended by a deregistration, so that
 * announcements that were sent before and arrive late do not register them again. This
 * includes backend servers that this node has not heard of, for example because it was
 * restarted. Not thread-safe.
 */
final class EndedStarts {

	/**
	 * Maximum number of ids that are remembered. One backend server runs on a VM at a
	 * time.
	 */
	private static final int MAXIMUM_IDS = 16;

	private final Clock clock;

	private final Clock timeOfDay;

	private final long maximumDelayMillis;

	private final Map<String, EndedStart> byId = new LinkedHashMap<>(MAXIMUM_IDS, 0.75f, false) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, EndedStart> eldest) {
			return size() > MAXIMUM_IDS;
		}

	};

	/**
	 * Creates a record without entries.
	 * @param clock source of time that never runs backwards
	 * @param timeOfDay time of day, by which backend servers state their start
	 * @param maximumDelayMillis how late an announcement may arrive
	 */
	EndedStarts(Clock clock, Clock timeOfDay, long maximumDelayMillis) {
		this.clock = clock;
		this.timeOfDay = timeOfDay;
		this.maximumDelayMillis = maximumDelayMillis;
	}

	/**
	 * Records a deregistration. If the start is not known, all starts up to now have
	 * ended; this is forgotten once no earlier announcement can arrive, because a new
	 * start seems to be earlier if the time of day is set back.
	 * @param backendId id of the backend server
	 * @param startedMillis its start in milliseconds since the epoch, if known
	 */
	void record(String backendId, OptionalLong startedMillis) {
		long untilMillis = startedMillis.isPresent() ? Long.MAX_VALUE : this.clock.millis() + this.maximumDelayMillis;
		EndedStart ended = new EndedStart(startedMillis.orElseGet(this.timeOfDay::millis), untilMillis);
		this.byId.merge(backendId, ended, this::later);
	}

	/**
	 * Returns whether an announcement is from a start that has ended.
	 * @param announcement the announcement
	 * @return true if it must be ignored
	 */
	boolean contains(BackendAnnouncement announcement) {
		EndedStart ended = this.byId.get(announcement.backendId());
		return ended != null && isValid(ended) && announcement.startedMillis() <= ended.startedMillis();
	}

	private EndedStart later(EndedStart first, EndedStart second) {
		return (isValid(first) && first.startedMillis() > second.startedMillis()) ? first : second;
	}

	private boolean isValid(EndedStart ended) {
		return this.clock.millis() < ended.untilMillis();
	}

	/**
	 * A deregistration.
	 *
	 * @param startedMillis latest start that has ended, milliseconds since the epoch
	 * @param untilMillis time at which it is forgotten, milliseconds of the clock
	 */
	private record EndedStart(long startedMillis, long untilMillis) {

	}

}
