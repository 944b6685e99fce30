package io.lavenderroad.control.log;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * The file operations that the log needs, so that a test can inject a full disk, a
 * failing sync and a crash.
 */
public interface StorageFileSystem {

	/**
	 * Creates a folder with its parents unless it exists.
	 * @param folder the folder
	 * @throws IOException if it fails
	 */
	void createFolder(Path folder) throws IOException;

	/**
	 * Lists the files of a folder.
	 * @param folder the folder
	 * @return sorted file names
	 * @throws IOException if it fails
	 */
	List<String> list(Path folder) throws IOException;

	/**
	 * Reads a whole file.
	 * @param file the file
	 * @return its content
	 * @throws IOException if it fails
	 */
	byte[] read(Path file) throws IOException;

	/**
	 * Opens a file for appending and creates it if it is missing.
	 * @param file the file
	 * @return the open file
	 * @throws IOException if it fails
	 */
	StorageFile open(Path file) throws IOException;

	/**
	 * Renames a file and replaces the target.
	 * @param source current path
	 * @param target new path in the same folder
	 * @throws IOException if it fails
	 */
	void rename(Path source, Path target) throws IOException;

	/**
	 * Deletes a file.
	 * @param file the file
	 * @throws IOException if it fails
	 */
	void delete(Path file) throws IOException;

	/**
	 * Makes the names in a folder durable: files created, renamed and deleted.
	 * @param folder the folder
	 * @throws IOException if it fails
	 */
	void syncFolder(Path folder) throws IOException;

	/**
	 * Returns the file system of the machine.
	 * @return the file system
	 */
	static StorageFileSystem disk() {
		return new DiskFileSystem();
	}

}
