package io.lavenderroad.control.log;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.zip.CRC32C;

import org.tinylog.Logger;

/**
 * Reads and atomically replaces files: the content is written to a temporary file and
 * synced, the temporary file is renamed over the old one, and the folder is synced. The
 * content is preceded by its CRC32C checksum (4 bytes).
 */
final class AtomicFile {

	static final String TEMPORARY_SUFFIX = ".tmp";

	private AtomicFile() {
	}

	static void write(StorageFileSystem files, Path file, byte[] content) {
		Path temporary = file.resolveSibling(file.getFileName() + TEMPORARY_SUFFIX);
		try {
			writeTemporary(files, temporary, content);
		}
		catch (IOException ex) {
			deleteQuietly(files, temporary);
			throw new StorageException("cannot write " + file + ": " + ex.getMessage(), ex, false);
		}
		try {
			files.rename(temporary, file);
			files.syncDirectory(file.getParent());
		}
		catch (IOException ex) {
			throw new StorageException("cannot replace " + file + ": " + ex.getMessage(), ex, true);
		}
	}

	static byte[] read(StorageFileSystem files, Path file) throws IOException {
		byte[] bytes = files.read(file);
		if (bytes.length < Integer.BYTES) {
			throw new LogCorruptionException(file, 0, "file of " + bytes.length + " bytes has no checksum");
		}
		byte[] content = new byte[bytes.length - Integer.BYTES];
		System.arraycopy(bytes, Integer.BYTES, content, 0, content.length);
		if (ByteBuffer.wrap(bytes).getInt() != checksum(content)) {
			throw new LogCorruptionException(file, 0, "checksum does not match the content");
		}
		return content;
	}

	private static void writeTemporary(StorageFileSystem files, Path temporary, byte[] content) throws IOException {
		try (StorageFile output = files.open(temporary)) {
			output.truncate(0);
			output.append(
					ByteBuffer.allocate(Integer.BYTES + content.length).putInt(checksum(content)).put(content).flip());
			try {
				output.sync();
			}
			catch (IOException ex) {
				throw new StorageException("cannot sync " + temporary + ": " + ex.getMessage(), ex, true);
			}
		}
	}

	private static void deleteQuietly(StorageFileSystem files, Path file) {
		try {
			files.delete(file);
		}
		catch (IOException ex) {
			Logger.debug("control: Deleting {} failed: {}.", file, ex.getMessage());
		}
	}

	private static int checksum(byte[] content) {
		CRC32C checksum = new CRC32C();
		checksum.update(content);
		return (int) checksum.getValue();
	}

}
