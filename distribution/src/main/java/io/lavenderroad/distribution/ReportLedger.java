package io.lavenderroad.distribution;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Records the number of the last report of each sender, so that a report that is resent
 * after a lost acknowledgement is not added twice.
 */
final class ReportLedger {

	/**
	 * Maximum number of senders recorded. A parent has at most 128 children; the rest
	 * covers children that are replaced while a report is unacknowledged.
	 */
	private static final int MAXIMUM_SENDERS = 1_024;

	private final ReentrantLock lock = new ReentrantLock();

	private final Map<String, LastReport> lastBySender = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, LastReport> eldest) {
			return size() > MAXIMUM_SENDERS;
		}

	};

	/**
	 * Records a report and returns whether it is new.
	 * @param senderId id of the sender
	 * @param incarnation start time of the sender, since the numbers restart with each
	 * process
	 * @param sequence number of the report
	 * @return true if the report was not recorded before
	 */
	boolean recordIfNew(String senderId, long incarnation, long sequence) {
		this.lock.lock();
		try {
			LastReport last = this.lastBySender.get(senderId);
			if (last != null && (last.incarnation() > incarnation
					|| last.incarnation() == incarnation && last.sequence() >= sequence)) {
				return false;
			}
			this.lastBySender.remove(senderId);
			this.lastBySender.put(senderId, new LastReport(incarnation, sequence));
			return true;
		}
		finally {
			this.lock.unlock();
		}
	}

	private record LastReport(long incarnation, long sequence) {
	}

}
