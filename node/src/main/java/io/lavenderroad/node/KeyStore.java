package io.lavenderroad.node;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Predicate;

import io.lavenderroad.core.ExecutionVerdict;

/**
 * The records of idempotency keys at one holder, bounded in memory and age. Records
 * younger than the age limit are never dropped for lack of memory: first the oldest
 * answers are dropped, then new claims are refused. The lock guards the map.
 */
final class KeyStore {

	/**
	 * Age at which a record is dropped.
	 */
	static final long LARGEST_AGE_MILLIS = 24L * 60 * 60 * 1_000;

	private final ReentrantLock lock = new ReentrantLock();

	private final TreeMap<KeyDigest, KeyRecord> records = new TreeMap<>();

	private final long largestBytes;

	private final int largestAnswerBytes;

	private long bytes;

	KeyStore(long largestBytes, int largestAnswerBytes) {
		this.largestBytes = largestBytes;
		this.largestAnswerBytes = largestAnswerBytes;
	}

	/**
	 * Records a claim unless the key has a record.
	 * @param claim the claim
	 * @param nowMillis clock reading in milliseconds
	 * @return the record in force: the claim's own one if it was granted, or empty if
	 * there is no memory for it
	 */
	Optional<KeyRecord> claim(KeyClaim claim, long nowMillis) {
		this.lock.lock();
		try {
			KeyRecord known = this.records.get(claim.key());
			if (known != null && nowMillis - known.createdMillis() < LARGEST_AGE_MILLIS) {
				return Optional.of(known);
			}
			if (!makeRoom(KeyRecord.FIXED_BYTES, nowMillis)) {
				return Optional.empty();
			}
			KeyRecord record = KeyRecord.running(claim, nowMillis);
			put(record);
			return Optional.of(record);
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Records the outcome of a call. A holder that never saw the claim records it as
	 * well.
	 * @param claim the claim of the call
	 * @param outcome the outcome; "not run" removes the claim
	 * @param nowMillis clock reading in milliseconds
	 */
	void settle(KeyClaim claim, CallAnswer outcome, long nowMillis) {
		this.lock.lock();
		try {
			KeyRecord known = this.records.get(claim.key());
			if (known != null && !claim.wrote(known)) {
				return;
			}
			if (outcome.verdict() == ExecutionVerdict.NOT_RUN) {
				if (known != null && known.state() == KeyState.RUNNING) {
					remove(known);
				}
				return;
			}
			KeyRecord base = (known != null) ? known : KeyRecord.running(claim, nowMillis);
			KeyRecord settled = base.settled(outcome, this.largestAnswerBytes);
			if (known == null || settled.state().compareTo(known.state()) > 0) {
				put(makeRoom(settled.bytes(), nowMillis) ? settled : smaller(settled));
			}
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Takes over a record of another holder. Of two records the one with the later state
	 * stays.
	 * @param record the record
	 * @param nowMillis clock reading in milliseconds
	 * @return false if there is no memory for it
	 */
	boolean merge(KeyRecord record, long nowMillis) {
		this.lock.lock();
		try {
			KeyRecord known = this.records.get(record.claim().key());
			if (known != null && known.state().compareTo(record.state()) >= 0) {
				return true;
			}
			if (makeRoom(record.bytes(), nowMillis)) {
				put(record);
				return true;
			}
			if (makeRoom(KeyRecord.FIXED_BYTES, nowMillis)) {
				put(smaller(record));
				return true;
			}
			return false;
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Finds the record of a key.
	 * @param key digest of the key
	 * @return the record
	 */
	Optional<KeyRecord> find(KeyDigest key) {
		this.lock.lock();
		try {
			return Optional.ofNullable(this.records.get(key));
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Returns records in the order of their keys.
	 * @param after only larger keys
	 * @param mostBytes stop after this much memory
	 * @param selection records to return
	 * @return the records
	 */
	List<KeyRecord> batch(KeyDigest after, int mostBytes, Predicate<KeyRecord> selection) {
		this.lock.lock();
		try {
			List<KeyRecord> batch = new ArrayList<>();
			long size = 0;
			for (KeyRecord record : this.records.tailMap(after, false).values()) {
				if (selection.test(record)) {
					batch.add(record);
					size += record.bytes();
				}
				if (size >= mostBytes) {
					break;
				}
			}
			return batch;
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Drops records.
	 * @param selection records to drop
	 */
	void removeIf(Predicate<KeyRecord> selection) {
		this.lock.lock();
		try {
			Iterator<KeyRecord> iterator = this.records.values().iterator();
			while (iterator.hasNext()) {
				KeyRecord record = iterator.next();
				if (selection.test(record)) {
					iterator.remove();
					this.bytes -= record.bytes();
				}
			}
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Drops records that are over the age limit.
	 * @param nowMillis clock reading in milliseconds
	 */
	void expire(long nowMillis) {
		removeIf((record) -> nowMillis - record.createdMillis() >= LARGEST_AGE_MILLIS);
	}

	int size() {
		this.lock.lock();
		try {
			return this.records.size();
		}
		finally {
			this.lock.unlock();
		}
	}

	long bytes() {
		this.lock.lock();
		try {
			return this.bytes;
		}
		finally {
			this.lock.unlock();
		}
	}

	private void put(KeyRecord record) {
		KeyRecord replaced = this.records.put(record.claim().key(), record);
		this.bytes += record.bytes() - ((replaced != null) ? replaced.bytes() : 0);
	}

	private void remove(KeyRecord record) {
		this.records.remove(record.claim().key());
		this.bytes -= record.bytes();
	}

	// Drops the oldest answers until the bytes fit. A quarter of the memory is freed at
	// once, so that the search for old answers is rare.
	private boolean makeRoom(int needed, long nowMillis) {
		if (this.bytes + needed <= this.largestBytes) {
			return true;
		}
		expire(nowMillis);
		List<KeyRecord> answers = new ArrayList<>();
		for (Map.Entry<KeyDigest, KeyRecord> entry : this.records.entrySet()) {
			if (entry.getValue().state() == KeyState.DONE) {
				answers.add(entry.getValue());
			}
		}
		answers.sort((first, second) -> Long.compare(first.createdMillis(), second.createdMillis()));
		for (KeyRecord record : answers) {
			if (this.bytes + needed <= this.largestBytes - this.largestBytes / 4) {
				break;
			}
			put(record.withoutAnswer());
		}
		return this.bytes + needed <= this.largestBytes;
	}

	private static KeyRecord smaller(KeyRecord record) {
		return (record.state() == KeyState.DONE) ? record.withoutAnswer() : record;
	}

}
