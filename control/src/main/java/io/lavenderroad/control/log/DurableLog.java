package io.lavenderroad.control.log;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.locks.ReentrantLock;

import org.tinylog.Logger;

/**
 * Stores the log, the term and vote, and the newest snapshot of one member in the files
 * of the data folder. Entries are durable only after {@link #sync()}. Entries that are
 * not compacted are also kept in memory. There are two locks: {@code writeLock} orders
 * the writes and is held during a sync; {@code stateLock} guards the fields and is held
 * only briefly, so that reads do not wait for the disk. After a failed sync every write
 * is refused until the log is repaired or opened again.
 */
public final class DurableLog implements AutoCloseable {

	/**
	 * Default size at which a new segment is started, in bytes.
	 */
	public static final long DEFAULT_SEGMENT_BYTES = 8L * 1024 * 1024;

	private static final String SEGMENT_PREFIX = "log-";

	private static final String VOTE_FILE = "term-and-vote";

	private final StorageFileSystem files;

	private final Path folder;

	private final long segmentBytes;

	private final ReentrantLock writeLock = new ReentrantLock();

	private final ReentrantLock stateLock = new ReentrantLock();

	private final List<Segment> segments = new ArrayList<>();

	private List<StoredEntry> entries = new ArrayList<>();

	private long baseIndex;

	private long baseTerm;

	private long syncedIndex;

	private long logBytes;

	private TermAndVote termAndVote = new TermAndVote(0, Optional.empty());

	private long snapshotIndex;

	private long syncCount;

	private volatile String failure;

	private boolean closed;

	private DurableLog(StorageFileSystem files, Path folder, long segmentBytes) {
		this.files = files;
		this.folder = folder;
		this.segmentBytes = segmentBytes;
	}

	/**
	 * Opens the files of a data folder, truncates an incompletely written (torn) tail
	 * that was never synced, and verifies everything else.
	 * @param files the file system
	 * @param folder the data folder; created if it is missing
	 * @param segmentBytes size at which a new segment is started, in bytes
	 * @return the log
	 * @throws LogCorruptionException if a file was damaged after it had been synced
	 * @throws StorageException if a file cannot be read or written
	 */
	public static DurableLog open(StorageFileSystem files, Path folder, long segmentBytes) {
		DurableLog log = new DurableLog(files, folder, segmentBytes);
		try {
			log.load();
			return log;
		}
		catch (IOException ex) {
			throw new StorageException("cannot open the log in " + folder + ": " + ex.getMessage(), ex, true);
		}
	}

	/**
	 * Returns the index of the first entry that is not compacted.
	 * @return the index; {@link #lastIndex()} + 1 if there is none
	 */
	public long firstIndex() {
		this.stateLock.lock();
		try {
			return this.baseIndex + 1;
		}
		finally {
			this.stateLock.unlock();
		}
	}

	/**
	 * Returns the index of the last entry, synced or not.
	 * @return the index, 0 if no entry was ever appended
	 */
	public long lastIndex() {
		this.stateLock.lock();
		try {
			return this.baseIndex + this.entries.size();
		}
		finally {
			this.stateLock.unlock();
		}
	}

	/**
	 * Returns the index of the last durable entry.
	 * @return the index
	 */
	public long syncedIndex() {
		this.stateLock.lock();
		try {
			return this.syncedIndex;
		}
		finally {
			this.stateLock.unlock();
		}
	}

	/**
	 * Returns the term of an entry.
	 * @param index index of the entry
	 * @return the term, or empty if the entry is compacted or does not exist
	 */
	public OptionalLong term(long index) {
		this.stateLock.lock();
		try {
			if (index == this.baseIndex) {
				return OptionalLong.of(this.baseTerm);
			}
			Optional<StoredEntry> storedEntry = storedEntry(index);
			return storedEntry.isPresent() ? OptionalLong.of(storedEntry.get().entry().term()) : OptionalLong.empty();
		}
		finally {
			this.stateLock.unlock();
		}
	}

	/**
	 * Returns an entry.
	 * @param index index of the entry
	 * @return the entry, or empty if it is compacted or does not exist
	 */
	public Optional<LogEntry> entry(long index) {
		this.stateLock.lock();
		try {
			return storedEntry(index).map(StoredEntry::entry);
		}
		finally {
			this.stateLock.unlock();
		}
	}

	/**
	 * Returns consecutive entries.
	 * @param first index of the first entry
	 * @param last index of the last entry
	 * @param maximumBytes maximum total size of the returned records in bytes; the first
	 * entry is returned even if it is larger
	 * @return the entries
	 */
	public List<LogEntry> entries(long first, long last, long maximumBytes) {
		List<LogEntry> result = new ArrayList<>();
		long bytes = 0;
		this.stateLock.lock();
		try {
			for (long index = first; index <= last; index++) {
				Optional<StoredEntry> storedEntry = storedEntry(index);
				if (storedEntry.isEmpty()) {
					break;
				}
				bytes += LogRecord.size(storedEntry.get().entry());
				if (bytes > maximumBytes && !result.isEmpty()) {
					break;
				}
				result.add(storedEntry.get().entry());
			}
			return result;
		}
		finally {
			this.stateLock.unlock();
		}
	}

	/**
	 * Returns the total size of the records of entries that are not compacted.
	 * @return the size in bytes
	 */
	public long bytes() {
		this.stateLock.lock();
		try {
			return this.logBytes;
		}
		finally {
			this.stateLock.unlock();
		}
	}

	/**
	 * Returns the number of syncs of the log.
	 * @return number since the log was opened
	 */
	public long syncCount() {
		this.stateLock.lock();
		try {
			return this.syncCount;
		}
		finally {
			this.stateLock.unlock();
		}
	}

	/**
	 * Returns the reason why writes are refused.
	 * @return the reason, or empty if writes are accepted
	 */
	public Optional<String> failure() {
		return Optional.ofNullable(this.failure);
	}

	/**
	 * Appends entries without syncing them.
	 * @param added consecutive entries that follow the last one
	 * @throws StorageException if they were not written; unless the failure is permanent,
	 * the log is unchanged
	 */
	public void append(List<LogEntry> added) {
		if (added.isEmpty()) {
			return;
		}
		this.writeLock.lock();
		try {
			ensureWritable();
			requireNextIndex(added.getFirst());
			Segment segment = segmentForAppend();
			long start = segment.size;
			write(segment, LogRecord.encode(added, syncedIndex()));
			addEntries(segment, start, added);
		}
		finally {
			this.writeLock.unlock();
		}
	}

	/**
	 * Makes all appended entries durable.
	 * @return index of the last durable entry
	 * @throws StorageException if the sync failed; the failure is permanent
	 */
	public long sync() {
		this.writeLock.lock();
		try {
			ensureWritable();
			long target = lastIndex();
			if (target > syncedIndex()) {
				syncSegment(this.segments.getLast());
				setSyncedIndex(target);
			}
			return target;
		}
		finally {
			this.writeLock.unlock();
		}
	}

	/**
	 * Durably removes the entries from an index to the end.
	 * @param index index of the first entry to remove
	 * @throws StorageException if it failed; the failure is permanent
	 */
	public void truncateFrom(long index) {
		this.writeLock.lock();
		try {
			ensureWritable();
			Optional<StoredEntry> first = storedEntryUnderLock(index);
			if (first.isEmpty()) {
				return;
			}
			Segment segment = first.get().segment();
			setSyncedIndex(Math.min(syncedIndex(), index - 1));
			segment.syncedSize = Math.min(segment.syncedSize, first.get().offset());
			while (this.segments.getLast() != segment) {
				deleteSegment(this.segments.removeLast());
			}
			this.files.syncDirectory(this.folder);
			segment.file.truncate(first.get().offset());
			segment.size = first.get().offset();
			syncSegment(segment);
			removeEntriesFrom(index);
		}
		catch (IOException ex) {
			throw failPermanently("cannot truncate the log at entry " + index, ex);
		}
		finally {
			this.writeLock.unlock();
		}
	}

	/**
	 * Discards entries that the newest snapshot contains. Only whole segment files are
	 * deleted.
	 * @param index index of the last entry to discard, at most that of the snapshot
	 * @throws StorageException if a file cannot be deleted
	 */
	public void compact(long index) {
		this.writeLock.lock();
		try {
			ensureWritable();
			OptionalLong term = term(index);
			if (index <= this.baseIndex || index > this.snapshotIndex || term.isEmpty()) {
				return;
			}
			removeEntriesUpTo(index, term.getAsLong());
			while (this.segments.size() > 1 && this.segments.get(1).firstIndex <= index + 1) {
				deleteSegment(this.segments.getFirst());
				this.segments.removeFirst();
			}
			this.files.syncDirectory(this.folder);
		}
		catch (IOException ex) {
			throw new StorageException("cannot compact the log: " + ex.getMessage(), ex, false);
		}
		finally {
			this.writeLock.unlock();
		}
	}

	/**
	 * Returns the durable term and vote.
	 * @return term and vote
	 */
	public TermAndVote termAndVote() {
		this.stateLock.lock();
		try {
			return this.termAndVote;
		}
		finally {
			this.stateLock.unlock();
		}
	}

	/**
	 * Durably replaces the term and vote.
	 * @param value the new term and vote
	 * @throws StorageException if they were not replaced: the old ones remain valid
	 * unless the failure is permanent
	 */
	public void saveTermAndVote(TermAndVote value) {
		replaceFile(VOTE_FILE, TermAndVoteFile.encode(value));
		this.stateLock.lock();
		try {
			this.termAndVote = value;
		}
		finally {
			this.stateLock.unlock();
		}
	}

	/**
	 * Durably writes a snapshot and deletes the older ones.
	 * @param snapshot the snapshot
	 * @throws StorageException if the snapshot was not written: the older one remains
	 * valid unless the failure is permanent
	 */
	public void saveSnapshot(Snapshot snapshot) {
		replaceFile(SnapshotFile.name(snapshot.index()), SnapshotFile.encode(snapshot));
		this.stateLock.lock();
		try {
			this.snapshotIndex = snapshot.index();
		}
		finally {
			this.stateLock.unlock();
		}
		deleteOldSnapshots();
	}

	/**
	 * Writes a snapshot received from a leader. The entries after the snapshot are kept
	 * if the log contains its last entry with the same term; otherwise the whole log is
	 * discarded.
	 * @param snapshot the snapshot
	 * @throws StorageException if it failed
	 */
	public void installSnapshot(Snapshot snapshot) {
		this.writeLock.lock();
		try {
			ensureWritable();
			saveSnapshot(snapshot);
			OptionalLong term = term(snapshot.index());
			if (term.isPresent() && term.getAsLong() == snapshot.term()) {
				sync();
				compact(snapshot.index());
			}
			else {
				discardAll(snapshot);
			}
		}
		catch (IOException ex) {
			throw failPermanently("cannot discard the log", ex);
		}
		finally {
			this.writeLock.unlock();
		}
	}

	/**
	 * Reads the newest snapshot.
	 * @return the snapshot, or empty if none was ever written
	 * @throws LogCorruptionException if it is damaged
	 * @throws StorageException if it cannot be read
	 */
	public Optional<Snapshot> snapshot() {
		this.stateLock.lock();
		try {
			if (this.snapshotIndex == 0) {
				return Optional.empty();
			}
			return Optional
				.of(SnapshotFile.read(this.files, this.folder.resolve(SnapshotFile.name(this.snapshotIndex))));
		}
		catch (IOException ex) {
			throw new StorageException("cannot read the snapshot: " + ex.getMessage(), ex, false);
		}
		finally {
			this.stateLock.unlock();
		}
	}

	/**
	 * Returns the index of the newest snapshot.
	 * @return the index, 0 if there is none
	 */
	public long snapshotIndex() {
		this.stateLock.lock();
		try {
			return this.snapshotIndex;
		}
		finally {
			this.stateLock.unlock();
		}
	}

	/**
	 * Closes the files without syncing.
	 */
	@Override
	public void close() {
		this.writeLock.lock();
		try {
			this.closed = true;
			this.failure = "the log is closed";
			this.segments.forEach(this::closeQuietly);
		}
		finally {
			this.writeLock.unlock();
		}
	}

	/**
	 * Makes the log usable after a permanent failure. The kernel may have dropped what
	 * was written but not synced, so the entries after the last synced one are removed
	 * from memory and from the files, and the term and vote are written again. No entry
	 * that was acknowledged is removed.
	 * @throws StorageException if the disk still fails; writes stay refused
	 */
	public void repair() {
		this.writeLock.lock();
		try {
			if (this.closed) {
				ensureWritable();
			}
			removeEntriesFrom(syncedIndex() + 1);
			removeUnsyncedSegments();
			if (!this.segments.isEmpty()) {
				truncateToSynced(this.segments.getLast());
			}
			this.files.syncDirectory(this.folder);
			AtomicFile.write(this.files, this.folder.resolve(VOTE_FILE), TermAndVoteFile.encode(termAndVote()));
			this.failure = null;
		}
		catch (IOException ex) {
			throw new StorageException("cannot repair the log: " + ex.getMessage(), ex, true);
		}
		finally {
			this.writeLock.unlock();
		}
	}

	private void removeUnsyncedSegments() throws IOException {
		while (!this.segments.isEmpty() && this.segments.getLast().firstIndex > syncedIndex()) {
			closeQuietly(this.segments.removeLast());
		}
		List<String> kept = this.segments.stream().map((segment) -> segment.path.getFileName().toString()).toList();
		for (String name : this.files.list(this.folder)) {
			if (name.startsWith(SEGMENT_PREFIX) && !kept.contains(name)) {
				this.files.delete(this.folder.resolve(name));
			}
		}
	}

	private void truncateToSynced(Segment segment) throws IOException {
		closeQuietly(segment);
		segment.file = this.files.open(segment.path);
		segment.file.truncate(segment.syncedSize);
		segment.size = segment.syncedSize;
		segment.file.sync();
	}

	private void load() throws IOException {
		this.files.createDirectory(this.folder);
		List<String> names = this.files.list(this.folder);
		for (String name : names) {
			if (name.endsWith(AtomicFile.TEMPORARY_SUFFIX)) {
				this.files.delete(this.folder.resolve(name));
			}
		}
		if (names.contains(VOTE_FILE)) {
			this.termAndVote = TermAndVoteFile.read(this.files, this.folder.resolve(VOTE_FILE));
		}
		List<String> snapshots = names.stream().filter(SnapshotFile::isSnapshot).toList();
		Optional<Snapshot> snapshot = snapshots.isEmpty() ? Optional.empty()
				: Optional.of(SnapshotFile.read(this.files, this.folder.resolve(snapshots.getLast())));
		this.snapshotIndex = snapshot.map(Snapshot::index).orElse(0L);
		List<String> segmentNames = names.stream().filter((name) -> name.startsWith(SEGMENT_PREFIX)).toList();
		for (String name : segmentNames) {
			loadSegment(name, name.equals(segmentNames.getLast()));
		}
		reconcileSnapshotAndLog(snapshot);
		this.syncedIndex = lastIndex();
	}

	private void loadSegment(String name, boolean last) throws IOException {
		Path path = this.folder.resolve(name);
		byte[] bytes = this.files.read(path);
		Segment segment = new Segment(path, firstIndexOf(path), this.files.open(path));
		if (this.segments.isEmpty()) {
			this.baseIndex = segment.firstIndex - 1;
		}
		this.segments.add(segment);
		int offset = 0;
		long expected = segment.firstIndex;
		if (expected != lastIndex() + 1) {
			throw new LogCorruptionException(path, 0,
					"segment starts at entry " + expected + " in place of " + (lastIndex() + 1));
		}
		while (offset < bytes.length) {
			Optional<LogRecord> record = LogRecord.parse(bytes, offset);
			if (record.isEmpty()) {
				truncateTornTail(segment, bytes, offset, last);
				break;
			}
			if (record.get().entry().index() != expected) {
				throw new LogCorruptionException(path, offset,
						"record holds entry " + record.get().entry().index() + " in place of " + expected);
			}
			addEntries(segment, offset, List.of(record.get().entry()));
			offset += record.get().size();
			expected++;
		}
		segment.size = offset;
		segment.syncedSize = offset;
	}

	private void truncateTornTail(Segment segment, byte[] bytes, int offset, boolean last) throws IOException {
		long index = lastIndex() + 1;
		if (!last || LogRecord.wasDurable(bytes, offset, index)) {
			throw new LogCorruptionException(segment.path, offset,
					"record of entry " + index + " is damaged although it had been synced; "
							+ "restore the data folder or replace this member by one with a new id");
		}
		Logger.warn("control: Truncated an incomplete, unsynced tail of {} bytes at offset {} of {}.",
				bytes.length - offset, offset, segment.path);
		segment.file.truncate(offset);
		segment.file.sync();
	}

	private void reconcileSnapshotAndLog(Optional<Snapshot> snapshot) throws IOException {
		if (snapshot.isEmpty()) {
			if (this.baseIndex > 0) {
				throw new LogCorruptionException(this.segments.getFirst().path, 0,
						"log starts at entry " + firstIndex() + " and there is no snapshot of the entries before it");
			}
			return;
		}
		long index = snapshot.get().index();
		if (index < this.baseIndex) {
			throw new LogCorruptionException(this.segments.getFirst().path, 0,
					"log starts at entry " + firstIndex() + " but the snapshot ends at entry " + index);
		}
		OptionalLong term = (index > this.baseIndex) ? term(index) : OptionalLong.of(snapshot.get().term());
		if (lastIndex() <= index || term.isEmpty() || term.getAsLong() != snapshot.get().term()) {
			discardAll(snapshot.get());
		}
		else {
			removeEntriesUpTo(index, snapshot.get().term());
		}
	}

	private void discardAll(Snapshot snapshot) throws IOException {
		removeAllEntries(snapshot);
		List<Segment> discarded = List.copyOf(this.segments).reversed();
		this.segments.clear();
		for (Segment segment : discarded) {
			deleteSegment(segment);
		}
		this.files.syncDirectory(this.folder);
	}

	private void removeAllEntries(Snapshot snapshot) {
		this.stateLock.lock();
		try {
			this.entries = new ArrayList<>();
			this.baseIndex = snapshot.index();
			this.baseTerm = snapshot.term();
			this.syncedIndex = snapshot.index();
			this.logBytes = 0;
		}
		finally {
			this.stateLock.unlock();
		}
	}

	private Segment segmentForAppend() {
		if (!this.segments.isEmpty() && this.segments.getLast().size < this.segmentBytes) {
			return this.segments.getLast();
		}
		sync();
		Path path = this.folder.resolve(segmentName(lastIndex() + 1));
		Segment segment = new Segment(path, lastIndex() + 1, openForAppend(path));
		this.segments.add(segment);
		try {
			this.files.syncDirectory(this.folder);
			return segment;
		}
		catch (IOException ex) {
			throw failPermanently("cannot sync the folder of a new segment", ex);
		}
	}

	private StorageFile openForAppend(Path path) {
		try {
			return this.files.open(path);
		}
		catch (IOException ex) {
			throw new StorageException("cannot create " + path + ": " + ex.getMessage(), ex, false);
		}
	}

	private void write(Segment segment, ByteBuffer bytes) {
		int length = bytes.remaining();
		try {
			segment.file.append(bytes);
			segment.size += length;
		}
		catch (IOException ex) {
			undoPartialWrite(segment);
			throw new StorageException("cannot append to " + segment.path + ": " + ex.getMessage(), ex, false);
		}
	}

	private void undoPartialWrite(Segment segment) {
		try {
			segment.file.truncate(segment.size);
			segment.file.sync();
		}
		catch (IOException ex) {
			throw failPermanently("cannot take back a partial write", ex);
		}
	}

	private void syncSegment(Segment segment) {
		try {
			segment.file.sync();
			segment.syncedSize = segment.size;
			countSync();
		}
		catch (IOException ex) {
			throw failPermanently("cannot sync " + segment.path, ex);
		}
	}

	private void replaceFile(String name, byte[] content) {
		ensureWritable();
		try {
			AtomicFile.write(this.files, this.folder.resolve(name), content);
		}
		catch (StorageException ex) {
			if (ex.isPermanent()) {
				this.failure = ex.getMessage();
			}
			throw ex;
		}
	}

	private void deleteOldSnapshots() {
		try {
			for (String name : this.files.list(this.folder)) {
				if (SnapshotFile.isSnapshot(name) && name.compareTo(SnapshotFile.name(this.snapshotIndex)) < 0) {
					this.files.delete(this.folder.resolve(name));
				}
			}
		}
		catch (IOException ex) {
			Logger.warn("control: Deleting an old snapshot failed: {}.", ex.getMessage());
		}
	}

	private void deleteSegment(Segment segment) throws IOException {
		closeQuietly(segment);
		this.files.delete(segment.path);
	}

	private void closeQuietly(Segment segment) {
		try {
			segment.file.close();
		}
		catch (IOException ex) {
			Logger.debug("control: Closing {} failed: {}.", segment.path, ex.getMessage());
		}
	}

	private void ensureWritable() {
		if (this.failure != null) {
			throw new StorageException("log in " + this.folder + " refuses writes: " + this.failure, null, true);
		}
	}

	private StorageException failPermanently(String action, IOException cause) {
		this.failure = action + ": " + cause.getMessage();
		return new StorageException(this.failure, cause, true);
	}

	private void requireNextIndex(LogEntry entry) {
		if (entry.index() != lastIndex() + 1) {
			throw new IllegalArgumentException("entry " + entry.index() + " does not follow entry " + lastIndex());
		}
	}

	private void addEntries(Segment segment, long start, List<LogEntry> added) {
		this.stateLock.lock();
		try {
			long offset = start;
			for (LogEntry entry : added) {
				this.entries.add(new StoredEntry(entry, segment, offset));
				offset += LogRecord.size(entry);
			}
			this.logBytes += offset - start;
		}
		finally {
			this.stateLock.unlock();
		}
	}

	private void removeEntriesFrom(long index) {
		this.stateLock.lock();
		try {
			while (this.baseIndex + this.entries.size() >= index) {
				this.logBytes -= LogRecord.size(this.entries.removeLast().entry());
			}
			this.syncedIndex = this.baseIndex + this.entries.size();
		}
		finally {
			this.stateLock.unlock();
		}
	}

	private void removeEntriesUpTo(long index, long term) {
		this.stateLock.lock();
		try {
			int count = (int) Math.min(index - this.baseIndex, this.entries.size());
			this.entries.subList(0, count)
				.forEach((storedEntry) -> this.logBytes -= LogRecord.size(storedEntry.entry()));
			this.entries = new ArrayList<>(this.entries.subList(count, this.entries.size()));
			this.baseIndex = index;
			this.baseTerm = term;
		}
		finally {
			this.stateLock.unlock();
		}
	}

	private void setSyncedIndex(long index) {
		this.stateLock.lock();
		try {
			this.syncedIndex = index;
		}
		finally {
			this.stateLock.unlock();
		}
	}

	private void countSync() {
		this.stateLock.lock();
		try {
			this.syncCount++;
		}
		finally {
			this.stateLock.unlock();
		}
	}

	private Optional<StoredEntry> storedEntryUnderLock(long index) {
		this.stateLock.lock();
		try {
			return storedEntry(index);
		}
		finally {
			this.stateLock.unlock();
		}
	}

	private Optional<StoredEntry> storedEntry(long index) {
		long position = index - this.baseIndex - 1;
		if (position < 0 || position >= this.entries.size()) {
			return Optional.empty();
		}
		return Optional.of(this.entries.get((int) position));
	}

	private static String segmentName(long index) {
		return String.format(Locale.ROOT, "%s%019d", SEGMENT_PREFIX, index);
	}

	private static long firstIndexOf(Path path) {
		try {
			return Long.parseLong(path.getFileName().toString().substring(SEGMENT_PREFIX.length()));
		}
		catch (NumberFormatException ex) {
			throw new LogCorruptionException(path, 0, "name of the segment does not end in an index");
		}
	}

	/**
	 * Segment file of the log.
	 */
	private static final class Segment {

		private final Path path;

		private final long firstIndex;

		private StorageFile file;

		private long size;

		/**
		 * Size that the last successful sync made durable.
		 */
		private long syncedSize;

		private Segment(Path path, long firstIndex, StorageFile file) {
			this.path = path;
			this.firstIndex = firstIndex;
			this.file = file;
		}

	}

	/**
	 * Entry with its position on disk.
	 *
	 * @param entry the entry
	 * @param segment the segment that contains the record
	 * @param offset offset of the record in the segment, in bytes
	 */
	private record StoredEntry(LogEntry entry, Segment segment, long offset) {

	}

}
