package io.lavenderroad.control.log;

import java.io.FileNotFoundException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * File system in memory that simulates crashes: a crash loses unsynced file content and
 * unsynced names of files in a directory. What a failed sync did not write is dropped: it
 * can still be read, but no later sync makes it durable, only writing it once more does.
 */
public final class MemoryFileSystem implements StorageFileSystem {

	private final TreeMap<Path, Content> names = new TreeMap<>();

	private TreeMap<Path, Content> durableNames = new TreeMap<>();

	private long freeBytes = Long.MAX_VALUE;

	private boolean failingSync;

	public void setFreeBytes(long bytes) {
		this.freeBytes = bytes;
	}

	public void setFailingSync(boolean failing) {
		this.failingSync = failing;
	}

	/**
	 * Simulates a crash: everything that was not synced is lost, except for a random part
	 * of the bytes appended after the last sync.
	 * @param random selects how many bytes survive
	 */
	public void crash(RandomGenerator random) {
		this.names.clear();
		this.names.putAll(this.durableNames);
		this.names.values().forEach((content) -> content.crash(random));
		this.freeBytes = Long.MAX_VALUE;
		this.failingSync = false;
	}

	public void replace(Path file, byte[] bytes) {
		Content content = new Content();
		content.bytes = bytes;
		content.durable = bytes;
		this.names.put(file, content);
		this.durableNames.put(file, content);
	}

	@Override
	public void createDirectory(Path directory) {
	}

	@Override
	public List<String> list(Path directory) {
		return this.names.keySet().stream().map((file) -> file.getFileName().toString()).sorted().toList();
	}

	@Override
	public byte[] read(Path file) throws IOException {
		return existing(file).bytes.clone();
	}

	@Override
	public StorageFile open(Path file) throws IOException {
		if (!this.names.containsKey(file) && this.freeBytes == 0) {
			throw new IOException("No space left on device");
		}
		return new MemoryFile(this.names.computeIfAbsent(file, (path) -> new Content()));
	}

	@Override
	public void rename(Path source, Path target) throws IOException {
		Content content = existing(source);
		this.names.remove(source);
		this.names.put(target, content);
	}

	@Override
	public void delete(Path file) throws IOException {
		existing(file);
		this.names.remove(file);
	}

	@Override
	public void syncDirectory(Path directory) throws IOException {
		throwIfSyncFails();
		this.durableNames = new TreeMap<>(this.names);
	}

	private Content existing(Path file) throws IOException {
		Content content = this.names.get(file);
		if (content == null) {
			throw new FileNotFoundException(file.toString());
		}
		return content;
	}

	private void throwIfSyncFails() throws IOException {
		if (this.failingSync) {
			throw new IOException("Input/output error");
		}
	}

	/**
	 * Content of a file.
	 */
	private static final class Content {

		private byte[] bytes = new byte[0];

		private byte[] durable = new byte[0];

		private int droppedFrom;

		private int droppedTo;

		private void drop() {
			boolean droppedBefore = this.droppedTo > this.droppedFrom;
			this.droppedFrom = droppedBefore ? this.droppedFrom : Math.min(this.durable.length, this.bytes.length);
			this.droppedTo = this.bytes.length;
		}

		private void makeDurable() {
			this.durable = this.bytes.clone();
			Arrays.fill(this.durable, this.droppedFrom, this.droppedTo, (byte) 0);
		}

		private void truncate(int size) {
			this.bytes = Arrays.copyOf(this.bytes, size);
			this.droppedFrom = Math.min(this.droppedFrom, size);
			this.droppedTo = Math.min(this.droppedTo, size);
		}

		private void crash(RandomGenerator random) {
			boolean appendedOnly = this.bytes.length > this.durable.length
					&& Arrays.mismatch(this.durable, this.bytes) == this.durable.length;
			int kept = appendedOnly ? random.nextInt(this.bytes.length - this.durable.length + 1) : 0;
			this.bytes = appendedOnly ? Arrays.copyOf(this.bytes, this.durable.length + kept) : this.durable.clone();
			this.durable = this.bytes.clone();
			this.droppedFrom = 0;
			this.droppedTo = 0;
		}

	}

	/**
	 * File opened for appending.
	 */
	private final class MemoryFile implements StorageFile {

		private final Content content;

		private MemoryFile(Content content) {
			this.content = content;
		}

		@Override
		public void append(ByteBuffer bytes) throws IOException {
			int count = (int) Math.min(bytes.remaining(), MemoryFileSystem.this.freeBytes);
			boolean diskFull = count < bytes.remaining();
			int size = this.content.bytes.length;
			this.content.bytes = Arrays.copyOf(this.content.bytes, size + count);
			bytes.get(this.content.bytes, size, count);
			MemoryFileSystem.this.freeBytes -= count;
			if (diskFull) {
				throw new IOException("No space left on device");
			}
		}

		@Override
		public void truncate(long size) {
			if (size < this.content.bytes.length) {
				MemoryFileSystem.this.freeBytes += Math.min(this.content.bytes.length - size,
						Long.MAX_VALUE - MemoryFileSystem.this.freeBytes);
				this.content.truncate((int) size);
			}
		}

		@Override
		public void sync() throws IOException {
			if (MemoryFileSystem.this.failingSync) {
				this.content.drop();
			}
			throwIfSyncFails();
			this.content.makeDurable();
		}

		@Override
		public void close() {
		}

	}

}
