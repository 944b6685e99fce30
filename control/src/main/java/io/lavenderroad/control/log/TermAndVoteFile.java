package io.lavenderroad.control.log;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Optional;

/**
 * Content of the file with the term and vote: the term (8 bytes), then the id of the
 * member that got the vote, empty if none did.
 */
final class TermAndVoteFile {

	private TermAndVoteFile() {
	}

	static byte[] encode(TermAndVote value) {
		byte[] vote = value.votedFor().orElse("").getBytes(StandardCharsets.UTF_8);
		return ByteBuffer.allocate(Long.BYTES + vote.length).putLong(value.term()).put(vote).array();
	}

	/**
	 * Reads the file.
	 * @param files the file system
	 * @param file the file
	 * @return term and vote
	 * @throws LogCorruptionException if the file is damaged
	 * @throws IOException if it cannot be read
	 */
	static TermAndVote read(StorageFileSystem files, Path file) throws IOException {
		byte[] content = AtomicFile.read(files, file);
		if (content.length < Long.BYTES) {
			throw new LogCorruptionException(file, Integer.BYTES, "file ends before the term");
		}
		String vote = new String(content, Long.BYTES, content.length - Long.BYTES, StandardCharsets.UTF_8);
		return new TermAndVote(ByteBuffer.wrap(content).getLong(),
				vote.isEmpty() ? Optional.empty() : Optional.of(vote));
	}

}
