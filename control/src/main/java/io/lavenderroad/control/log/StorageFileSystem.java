package io.lavenderroad.control.log;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * File operations used by the log. Tests implement them to inject a full disk, a failing
 * sync or a crash.
 */
public interface StorageFileSystem {

	/**
	 * Creates a folder and its parents if they do not exist.
	 * @param folder the folder
	 * @throws IOException if it fails
	 */
	void createDirectory(Path folder) throws IOException;

	/**
	 * Lists the files of a folder.
	 * @param folder the folder
	 * @return the sorted file names
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
	 * Atomically renames a file; an existing target is replaced.
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
	 * Syncs the entries of a folder to the disk, so that created, renamed and deleted
	 * files are durable.
	 * @param folder the folder
	 * @throws IOException if it fails
	 */
	void syncDirectory(Path folder) throws IOException;

	/**
	 * Returns the file system of the machine.
	 * @return the file system
	 */
	static StorageFileSystem disk() {
		return new DiskFileSystem();
	}

}
