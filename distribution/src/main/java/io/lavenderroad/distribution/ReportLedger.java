package io.lavenderroad.distribution;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Remembers the last report of each sender, so that one that is sent again after a lost
 * acknowledgement is not added twice.
 */
final class ReportLedger {

	/**
	 * Senders remembered. A parent has at most 128 children; the rest covers those that
	 * come and go while a report is in doubt.
	 */
	private static final int MOST_SENDERS = 1_024;

	private final ReentrantLock lock = new ReentrantLock();

	private final Map<String, Last> lastBySender = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Last> eldest) {
			return size() > MOST_SENDERS;
		}

	};

	/**
	 * Tells whether a report has not been added yet, and notes it.
	 * @param senderId id of the sender
	 * @param incarnation start time of the sender, since numbers start again with it
	 * @param sequence number of the report
	 * @return true for the first time
	 */
	boolean isNew(String senderId, long incarnation, long sequence) {
		this.lock.lock();
		try {
			Last last = this.lastBySender.get(senderId);
			if (last != null && (last.incarnation() > incarnation
					|| last.incarnation() == incarnation && last.sequence() >= sequence)) {
				return false;
			}
			this.lastBySender.remove(senderId);
			this.lastBySender.put(senderId, new Last(incarnation, sequence));
			return true;
		}
		finally {
			this.lock.unlock();
		}
	}

	private record Last(long incarnation, long sequence) {
	}

}
