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
 * Stores the records of idempotency keys at one holder, bounded in memory and age.
 * Records below the maximum age are never dropped for lack of memory: first the oldest
 * answers are dropped, then new claims are refused. The lock guards the map.
 */
final class KeyStore {

	/**
	 * Age at which a record is dropped.
	 */
	static final long MAXIMUM_AGE_MILLIS = 24L * 60 * 60 * 1_000;

	private final ReentrantLock lock = new ReentrantLock();

	private final TreeMap<KeyDigest, KeyRecord> records = new TreeMap<>();

	private final long maximumBytes;

	private final int maximumAnswerBytes;

	private long bytes;

	KeyStore(long maximumBytes, int maximumAnswerBytes) {
		this.maximumBytes = maximumBytes;
		this.maximumAnswerBytes = maximumAnswerBytes;
	}

	/**
	 * Records a claim unless the key has a record.
	 * @param claim the claim
	 * @param nowMillis clock reading in milliseconds
	 * @return the stored record, which the claim owns if it was granted; empty if there
	 * is no memory for it
	 */
	Optional<KeyRecord> claim(KeyClaim claim, long nowMillis) {
		this.lock.lock();
		try {
			KeyRecord existing = this.records.get(claim.key());
			if (existing != null && nowMillis - existing.createdMillis() < MAXIMUM_AGE_MILLIS) {
				return Optional.of(existing);
			}
			if (!ensureCapacity(KeyRecord.FIXED_BYTES, nowMillis)) {
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
	 * Records the outcome of a call, even if this holder never received the claim.
	 * @param claim the claim of the call
	 * @param outcome the outcome; "not run" removes the claim
	 * @param nowMillis clock reading in milliseconds
	 */
	void settle(KeyClaim claim, CallAnswer outcome, long nowMillis) {
		this.lock.lock();
		try {
			KeyRecord existing = this.records.get(claim.key());
			if (existing != null && !claim.owns(existing)) {
				return;
			}
			if (outcome.verdict() == ExecutionVerdict.NOT_RUN) {
				if (existing != null && existing.state() == KeyState.RUNNING) {
					remove(existing);
				}
				return;
			}
			KeyRecord base = (existing != null) ? existing : KeyRecord.running(claim, nowMillis);
			KeyRecord settled = base.settled(outcome, this.maximumAnswerBytes);
			if (existing == null || settled.state().compareTo(existing.state()) > 0) {
				put(ensureCapacity(settled.bytes(), nowMillis) ? settled : withoutKeptAnswer(settled));
			}
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Merges a record of another holder. If the key has a record already, the later state
	 * wins.
	 * @param record the record
	 * @param nowMillis clock reading in milliseconds
	 * @return false if there is no memory for it
	 */
	boolean merge(KeyRecord record, long nowMillis) {
		this.lock.lock();
		try {
			KeyRecord existing = this.records.get(record.claim().key());
			if (existing != null && existing.state().compareTo(record.state()) >= 0) {
				return true;
			}
			if (ensureCapacity(record.bytes(), nowMillis)) {
				put(record);
				return true;
			}
			if (ensureCapacity(KeyRecord.FIXED_BYTES, nowMillis)) {
				put(withoutKeptAnswer(record));
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
	 * @param after only records with larger keys are returned
	 * @param batchBytes the batch ends once its records reach this size
	 * @param selection records to return
	 * @return the records
	 */
	List<KeyRecord> batch(KeyDigest after, int batchBytes, Predicate<KeyRecord> selection) {
		this.lock.lock();
		try {
			List<KeyRecord> batch = new ArrayList<>();
			long size = 0;
			for (KeyRecord record : this.records.tailMap(after, false).values()) {
				if (selection.test(record)) {
					batch.add(record);
					size += record.bytes();
				}
				if (size >= batchBytes) {
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
	 * Drops records that have reached the maximum age.
	 * @param nowMillis clock reading in milliseconds
	 */
	void expire(long nowMillis) {
		removeIf((record) -> nowMillis - record.createdMillis() >= MAXIMUM_AGE_MILLIS);
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

	// If the needed bytes do not fit, drops expired records and then the oldest answers
	// until a quarter of the memory is free besides these bytes, so that the search for
	// old answers is rare.
	private boolean ensureCapacity(int needed, long nowMillis) {
		if (this.bytes + needed <= this.maximumBytes) {
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
			if (this.bytes + needed <= this.maximumBytes - this.maximumBytes / 4) {
				break;
			}
			put(record.withoutAnswer());
		}
		return this.bytes + needed <= this.maximumBytes;
	}

	private static KeyRecord withoutKeptAnswer(KeyRecord record) {
		return (record.state() == KeyState.DONE) ? record.withoutAnswer() : record;
	}

}
