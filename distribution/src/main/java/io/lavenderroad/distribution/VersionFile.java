package io.lavenderroad.distribution;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Optional;
import java.util.zip.CRC32C;

import io.lavenderroad.core.wire.Fields;
import io.lavenderroad.core.wire.WireException;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.binding.ConfigurationBinding;
import org.msgpack.core.MessageUnpacker;
import org.tinylog.Logger;

/**
 * Stores the last active version across restarts. The file is complete or absent: it is
 * written to a temporary file, synced and renamed, and the folder is synced. Layout:
 * magic number, CRC32C of the rest, then MessagePack with node id, scope, digest and
 * configuration.
 */
final class VersionFile implements ActiveConfiguration.VersionStore {

	private static final int MAGIC = 0x4c525631;

	private static final int HEADER_BYTES = 8;

	private static final String NAME = "version-in-force.bin";

	private final Path folder;

	private final String nodeId;

	/**
	 * Creates the store of a node.
	 * @param folder data folder of the node
	 * @param nodeId id of the node; the file of another node is ignored
	 */
	VersionFile(Path folder, String nodeId) {
		this.folder = folder;
		this.nodeId = nodeId;
	}

	@Override
	public Optional<String> store(MeshConfiguration configuration, boolean everything) {
		try {
			write(encode(configuration, everything));
			return Optional.empty();
		}
		catch (IOException ex) {
			Logger.warn("distribution: Storing version {} in {} failed: {}.", configuration.version(), this.folder,
					ex.toString());
			return deleteStored(configuration.version());
		}
	}

	/**
	 * Loads the stored version.
	 * @return the version, or empty if the file is absent, damaged or of another node
	 */
	Optional<Stored> load() {
		Path file = this.folder.resolve(NAME);
		try {
			return Optional.of(decode(Files.readAllBytes(file)));
		}
		catch (NoSuchFileException ex) {
			return Optional.empty();
		}
		catch (IOException | RuntimeException ex) {
			Logger.warn("distribution: Ignoring the damaged file {}: {}.", file, ex.getMessage());
			return Optional.empty();
		}
	}

	private Optional<String> deleteStored(long version) {
		// An older version must not be served after a restart.
		try {
			if (Files.deleteIfExists(this.folder.resolve(NAME))) {
				syncDirectory();
			}
			return Optional.empty();
		}
		catch (IOException ex) {
			return Optional.of("version " + version + " cannot be stored and the older file in " + this.folder
					+ " cannot be removed: " + ex);
		}
	}

	private byte[] encode(MeshConfiguration configuration, boolean everything) {
		return ConfigurationBinding.toBytes(configuration, (value, packer) -> {
			packer.packString(this.nodeId);
			packer.packBoolean(everything);
			packer.packString(value.digest());
			ConfigurationBinding.packConfiguration(value, packer);
		});
	}

	private Stored decode(byte[] bytes) throws IOException {
		ByteBuffer buffer = ByteBuffer.wrap(bytes);
		if (bytes.length < HEADER_BYTES || buffer.getInt() != MAGIC) {
			throw new WireException("the header or the magic number is missing");
		}
		byte[] body = new byte[bytes.length - HEADER_BYTES];
		int checksum = buffer.getInt();
		buffer.get(body);
		if (checksum != checksum(body)) {
			throw new WireException("the checksum does not match");
		}
		MessageUnpacker unpacker = Fields.unpacker(body);
		String owner = unpacker.unpackString();
		if (!owner.equals(this.nodeId)) {
			throw new WireException("it belongs to node " + owner);
		}
		boolean everything = unpacker.unpackBoolean();
		String digest = unpacker.unpackString();
		MeshConfiguration configuration = ConfigurationBinding.unpackConfiguration(unpacker);
		if (!configuration.digest().equals(digest)) {
			throw new WireException("the digest does not match");
		}
		return new Stored(configuration, everything);
	}

	private void write(byte[] body) throws IOException {
		Files.createDirectories(this.folder);
		Path temporary = this.folder.resolve(NAME + ".new");
		ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + body.length);
		buffer.putInt(MAGIC).putInt(checksum(body)).put(body).flip();
		try (FileChannel channel = FileChannel.open(temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
				StandardOpenOption.TRUNCATE_EXISTING)) {
			while (buffer.hasRemaining()) {
				channel.write(buffer);
			}
			channel.force(true);
		}
		Files.move(temporary, this.folder.resolve(NAME), StandardCopyOption.ATOMIC_MOVE,
				StandardCopyOption.REPLACE_EXISTING);
		syncDirectory();
	}

	private void syncDirectory() throws IOException {
		try (FileChannel channel = FileChannel.open(this.folder, StandardOpenOption.READ)) {
			channel.force(true);
		}
	}

	private static int checksum(byte[] body) {
		CRC32C checksum = new CRC32C();
		checksum.update(body);
		return (int) checksum.getValue();
	}

	/**
	 * Stored version.
	 *
	 * @param configuration the version
	 * @param everything whether it contains all services
	 */
	record Stored(MeshConfiguration configuration, boolean everything) {
	}

}
