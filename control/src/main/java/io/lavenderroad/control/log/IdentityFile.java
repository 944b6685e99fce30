package io.lavenderroad.control.log;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Stores the id of a control member in the folder of its log, so that a member that lost
 * its disk gets a new id and is not mistaken for the member that voted before. The file
 * also contains the addresses of the founding members of the group.
 */
public final class IdentityFile {

	private static final String FILE_NAME = "identity";

	private static final String SEPARATOR = "\n";

	private final StorageFileSystem files;

	private final Path file;

	/**
	 * Creates access to the identity file of a folder.
	 * @param files file operations
	 * @param folder data folder of the member
	 */
	public IdentityFile(StorageFileSystem files, Path folder) {
		this.files = files;
		this.file = folder.resolve(FILE_NAME);
	}

	/**
	 * Reads the identity. Creates the folder if it is missing.
	 * @return the identity, empty if none is stored
	 * @throws StorageException if the file cannot be read
	 */
	public Optional<Identity> load() {
		try {
			this.files.createDirectory(this.file.getParent());
			if (!this.files.list(this.file.getParent()).contains(FILE_NAME)) {
				return Optional.empty();
			}
			String text = new String(AtomicFile.read(this.files, this.file), StandardCharsets.UTF_8);
			List<String> lines = Arrays.asList(text.split(SEPARATOR));
			return Optional.of(new Identity(lines.getFirst(), lines.subList(1, lines.size())));
		}
		catch (IOException ex) {
			throw new StorageException("cannot read " + this.file + ": " + ex.getMessage(), ex, true);
		}
	}

	/**
	 * Stores the identity durably.
	 * @param identity the identity
	 * @throws StorageException if it cannot be written
	 */
	public void save(Identity identity) {
		String text = identity.id() + SEPARATOR + String.join(SEPARATOR, identity.founders());
		AtomicFile.write(this.files, this.file, text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Identity of a member.
	 *
	 * @param id id of the member
	 * @param founders addresses of the founding members, empty for a member that joins
	 */
	public record Identity(String id, List<String> founders) {

		public Identity {
			founders = List.copyOf(founders);
		}

	}

}
