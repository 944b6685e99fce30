package io.lavenderroad.control.log;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/**
 * Storage in the file system of the machine.
 */
final class DiskFileSystem implements StorageFileSystem {

	@Override
	public void createDirectory(Path folder) throws IOException {
		Files.createDirectories(folder);
	}

	@Override
	public List<String> list(Path folder) throws IOException {
		try (Stream<Path> files = Files.list(folder)) {
			return files.map((file) -> file.getFileName().toString()).sorted().toList();
		}
	}

	@Override
	public byte[] read(Path file) throws IOException {
		return Files.readAllBytes(file);
	}

	@Override
	public StorageFile open(Path file) throws IOException {
		FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
		channel.position(channel.size());
		return new DiskFile(channel);
	}

	@Override
	public void rename(Path source, Path target) throws IOException {
		Files.move(source, target, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
	}

	@Override
	public void delete(Path file) throws IOException {
		Files.delete(file);
	}

	@Override
	public void syncDirectory(Path folder) throws IOException {
		try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
			channel.force(true);
		}
	}

	/**
	 * File opened for appending.
	 *
	 * @param channel open for writing, positioned at the end
	 */
	private record DiskFile(FileChannel channel) implements StorageFile {

		@Override
		public void append(ByteBuffer bytes) throws IOException {
			while (bytes.hasRemaining()) {
				this.channel.write(bytes);
			}
		}

		@Override
		public void truncate(long size) throws IOException {
			this.channel.truncate(size);
			this.channel.position(size);
		}

		@Override
		public void sync() throws IOException {
			this.channel.force(true);
		}

		@Override
		public void close() throws IOException {
			this.channel.close();
		}

	}

}
