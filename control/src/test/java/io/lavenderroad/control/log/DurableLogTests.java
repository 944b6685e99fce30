package io.lavenderroad.control.log;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against lost, modified or spurious entries after a crash, a damaged file, a full
 * disk or a failing sync.
 */
public class DurableLogTests {

	private static final Path FOLDER = Path.of("data");

	private static final Path SEGMENT = FOLDER.resolve("log-0000000000000000001");

	private static final long SEED = 20261204;

	private MemoryFileSystem files;

	@BeforeMethod
	void createFiles() {
		this.files = new MemoryFileSystem();
	}

	@Test
	public void tornTailAtEveryOffsetLosesOnlyTheUnsyncedBatch() throws Exception {
		appendSynced(open(), 1, 2, 3);
		int durable = this.files.read(SEGMENT).length;
		DurableLog log = open();
		log.append(List.of(entry(4), entry(5)));
		byte[] whole = this.files.read(SEGMENT);
		int second = (whole.length - durable) / 2 + durable;
		for (int size = durable; size < whole.length; size++) {
			this.files.replace(SEGMENT, Arrays.copyOf(whole, size));
			DurableLog reopened = open();
			Assert.assertEquals(reopened.lastIndex(), (size < second) ? 3 : 4, "size " + size);
			appendSynced(reopened, reopened.lastIndex() + 1);
			Assert.assertEquals(open().lastIndex(), reopened.lastIndex(), "append after size " + size);
		}
	}

	@Test
	public void validRecordAfterATornOneOfTheSameBatchIsNotCorruption() throws Exception {
		appendSynced(open(), 1, 2, 3);
		int durable = this.files.read(SEGMENT).length;
		DurableLog log = open();
		log.append(List.of(entry(4), entry(5)));
		byte[] bytes = this.files.read(SEGMENT);
		Arrays.fill(bytes, durable, durable + 20, (byte) 0);
		this.files.replace(SEGMENT, bytes);
		Assert.assertEquals(open().lastIndex(), 3);
	}

	@Test
	public void everyFlippedBitIsDetected() throws Exception {
		DurableLog log = open();
		for (long index = 1; index <= 4; index++) {
			appendSynced(log, index);
		}
		byte[] intact = this.files.read(SEGMENT);
		int record = intact.length / 4;
		for (int bit = 0; bit < intact.length * 8; bit++) {
			byte[] damaged = intact.clone();
			damaged[bit / 8] ^= (byte) (1 << bit % 8);
			this.files.replace(SEGMENT, damaged);
			int damagedRecord = bit / 8 / record;
			if (damagedRecord == 3) {
				Assert.assertEquals(open().lastIndex(), 3, "bit " + bit);
				continue;
			}
			LogCorruptionException ex = Assert.expectThrows(LogCorruptionException.class, this::open);
			Assert.assertEquals(ex.file(), SEGMENT);
			Assert.assertEquals(ex.offset(), damagedRecord * record, "bit " + bit);
			Assert.assertTrue(ex.getMessage().contains(SEGMENT + ": offset " + ex.offset()), ex.getMessage());
		}
	}

	@Test
	public void damageAtTheEndOfAnOlderSegmentIsNotATornTail() throws Exception {
		DurableLog log = open(100);
		for (long index = 1; index <= 6; index++) {
			appendSynced(log, index);
		}
		byte[] bytes = this.files.read(SEGMENT);
		this.files.replace(SEGMENT, Arrays.copyOf(bytes, bytes.length - 1));
		Assert.assertThrows(LogCorruptionException.class, () -> open(100));
	}

	@Test
	public void missingSegmentIsDetected() throws Exception {
		DurableLog log = open(100);
		for (long index = 1; index <= 9; index++) {
			appendSynced(log, index);
		}
		this.files.delete(FOLDER.resolve(this.files.list(FOLDER).get(1)));
		Assert.assertThrows(LogCorruptionException.class, () -> open(100));
	}

	@Test
	public void fullDiskLeavesTheLogAsBeforeAndUsable() {
		DurableLog log = open();
		appendSynced(log, 1, 2);
		this.files.setFreeBytes(50);
		StorageException ex = Assert.expectThrows(StorageException.class,
				() -> log.append(List.of(entry(3), entry(4))));
		Assert.assertFalse(ex.isPermanent());
		Assert.assertFalse(Assert
			.expectThrows(StorageException.class,
					() -> log.saveTermAndVote(
							new TermAndVote(9, Optional.of("a long candidate name of 50 bytes ........."))))
			.isPermanent());
		this.files.crash(new Random(SEED));
		DurableLog reopened = open();
		Assert.assertEquals(reopened.lastIndex(), 2);
		Assert.assertEquals(reopened.termAndVote().term(), 0);
		this.files.setFreeBytes(1_000);
		appendSynced(log, 3);
		Assert.assertEquals(log.syncedIndex(), 3);
	}

	@Test
	public void failedSyncIsNeverFollowedByAnAcknowledgement() {
		DurableLog log = open();
		appendSynced(log, 1);
		log.append(List.of(entry(2)));
		this.files.setFailingSync(true);
		Assert.assertTrue(Assert.expectThrows(StorageException.class, log::sync).isPermanent());
		this.files.setFailingSync(false);
		Assert.assertThrows(StorageException.class, log::sync);
		Assert.assertThrows(StorageException.class, () -> log.append(List.of(entry(3))));
		Assert.assertThrows(StorageException.class, () -> log.saveTermAndVote(new TermAndVote(2, Optional.empty())));
		Assert.assertEquals(log.syncedIndex(), 1);
	}

	@Test
	public void syncedEntriesVotesAndSnapshotsSurviveEveryCrash() {
		Random random = new Random(SEED);
		DurableLog log = open(200);
		long snapshot = 0;
		for (int round = 0; round < 300; round++) {
			long last = log.lastIndex();
			for (long index = last + 1; index <= last + random.nextInt(5); index++) {
				log.append(List.of(entry(index)));
			}
			log.sync();
			if (random.nextInt(4) == 0 && log.lastIndex() > log.snapshotIndex()) {
				snapshot = log.lastIndex();
				log.saveSnapshot(new Snapshot(snapshot, 1, new byte[] { 1 }, text("state " + snapshot)));
				log.compact(Math.max(log.firstIndex(), snapshot - random.nextInt(10)));
			}
			TermAndVote vote = new TermAndVote(round, Optional.of("member " + round));
			log.saveTermAndVote(vote);
			long synced = log.lastIndex();
			log.append(List.of(entry(synced + 1)));
			this.files.crash(random);
			log = open(200);
			Assert.assertTrue(log.lastIndex() == synced || log.lastIndex() == synced + 1, "round " + round);
			Assert.assertEquals(log.termAndVote(), vote);
			Assert.assertEquals(log.snapshotIndex(), snapshot);
			for (long index = log.firstIndex(); index <= synced; index++) {
				Assert.assertEquals(log.entry(index).orElseThrow().payload(), text("entry " + index));
			}
		}
		Assert.assertEquals(log.snapshot().orElseThrow().data(), text("state " + snapshot));
	}

	/**
	 * Guards against a log that is repaired after a disk failure in any operation and has
	 * lost what was synced, keeps what was not, or can be written but not opened again.
	 */
	@Test
	public void repairedLogHoldsExactlyWhatWasSynced() {
		int failures = 0;
		for (long seed = SEED; seed < SEED + 400; seed++) {
			Random random = new Random(seed);
			this.files.crash(random);
			clearFolder();
			DurableLog log = open(120);
			for (int round = 0; round < 30; round++) {
				String context = "seed " + seed + " round " + round;
				if (random.nextInt(3) == 0) {
					this.files.setFailingSync(random.nextBoolean());
					this.files.setFreeBytes(random.nextInt(150));
				}
				try {
					writeAtRandom(log, random);
				}
				catch (StorageException ex) {
					failures += ex.isPermanent() ? 1 : 0;
				}
				this.files.setFailingSync(false);
				this.files.setFreeBytes(Long.MAX_VALUE);
				long synced = log.syncedIndex();
				if (log.failure().isPresent()) {
					log.repair();
					Assert.assertEquals(log.lastIndex(), synced, context);
				}
				log.sync();
				if (random.nextInt(3) == 0) {
					log = reopenedAfterCrash(log, random, context);
				}
			}
		}
		Assert.assertTrue(failures > 400, "permanent failures: " + failures);
	}

	private void clearFolder() {
		try {
			for (String name : this.files.list(FOLDER)) {
				this.files.delete(FOLDER.resolve(name));
			}
			this.files.syncDirectory(FOLDER);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static void writeAtRandom(DurableLog log, Random random) {
		long last = log.lastIndex();
		switch (random.nextInt(6)) {
			case 0 -> log.saveTermAndVote(new TermAndVote(random.nextInt(100), Optional.of("a")));
			case 1 -> log.truncateFrom(Math.max(log.snapshotIndex() + 1, last - random.nextInt(4)));
			case 2 -> {
				if (log.syncedIndex() > log.snapshotIndex()) {
					log.saveSnapshot(new Snapshot(log.syncedIndex(), 1, new byte[0], text("own")));
					log.compact(log.snapshotIndex());
				}
			}
			case 3 -> log.installSnapshot(new Snapshot(last + 1 + random.nextInt(3), 1, new byte[0], text("received")));
			default -> {
				for (long index = last + 1; index <= last + 1 + random.nextInt(4); index++) {
					log.append(List.of(entry(index)));
				}
				log.sync();
			}
		}
	}

	private DurableLog reopenedAfterCrash(DurableLog log, Random random, String context) {
		this.files.crash(random);
		DurableLog reopened = open(120);
		Assert.assertEquals(reopened.lastIndex(), log.lastIndex(), context);
		Assert.assertEquals(reopened.termAndVote(), log.termAndVote(), context);
		for (long index = Math.max(log.firstIndex(), reopened.firstIndex()); index <= log.lastIndex(); index++) {
			Assert.assertEquals(reopened.entry(index).orElseThrow().payload(), text("entry " + index), context);
		}
		return reopened;
	}

	@Test
	public void crashBetweenReceivedSnapshotAndDiscardedLogIsRepaired() {
		DurableLog log = open();
		appendSynced(log, 1, 2, 3);
		log.saveSnapshot(new Snapshot(10, 4, new byte[0], text("state")));
		DurableLog reopened = open();
		Assert.assertEquals(reopened.firstIndex(), 11);
		Assert.assertEquals(reopened.lastIndex(), 10);
		Assert.assertEquals(reopened.term(10).orElse(0), 4);
	}

	@Test
	public void damagedVoteOrSnapshotFileStopsTheMember() throws Exception {
		DurableLog log = open();
		log.saveTermAndVote(new TermAndVote(7, Optional.of("a")));
		appendSynced(log, 1);
		log.saveSnapshot(new Snapshot(1, 1, new byte[0], text("state")));
		for (String name : List.of("term-and-vote", "snapshot-0000000000000000001")) {
			byte[] intact = this.files.read(FOLDER.resolve(name));
			byte[] damaged = intact.clone();
			damaged[damaged.length - 1] ^= 1;
			this.files.replace(FOLDER.resolve(name), damaged);
			LogCorruptionException ex = Assert.expectThrows(LogCorruptionException.class, this::open);
			Assert.assertEquals(ex.file(), FOLDER.resolve(name));
			this.files.replace(FOLDER.resolve(name), intact);
		}
	}

	@Test
	public void truncatedEntriesDoNotReturn() {
		DurableLog log = open(100);
		for (long index = 1; index <= 9; index++) {
			appendSynced(log, index);
		}
		log.truncateFrom(4);
		this.files.crash(new Random(SEED));
		DurableLog reopened = open(100);
		Assert.assertEquals(reopened.lastIndex(), 3);
		appendSynced(reopened, 4);
		Assert.assertEquals(open(100).lastIndex(), 4);
	}

	private DurableLog open() {
		return open(DurableLog.DEFAULT_SEGMENT_BYTES);
	}

	private DurableLog open(long segmentBytes) {
		return DurableLog.open(this.files, FOLDER, segmentBytes);
	}

	private static void appendSynced(DurableLog log, long... indexes) {
		log.append(Arrays.stream(indexes).mapToObj(DurableLogTests::entry).toList());
		log.sync();
	}

	private static LogEntry entry(long index) {
		return new LogEntry(index, 1, EntryKind.COMMAND, text("entry " + index));
	}

	private static byte[] text(String value) {
		return value.getBytes(StandardCharsets.UTF_8);
	}

}
