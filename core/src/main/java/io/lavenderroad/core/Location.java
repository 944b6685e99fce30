package io.lavenderroad.core;

import java.util.Objects;

/**
 * A position in an input: a file, a request body or a message of a peer.
 *
 * @param source name of the file, body or peer
 * @param line line counted from 1, or 0 if the input has no lines
 * @param column column counted from 1, or 0 if unknown
 * @param path path of the key inside the document, such as {@code ports.http}; empty for
 * the document itself
 */
public record Location(String source, int line, int column, String path) {

	public Location {
		Objects.requireNonNull(source, "source");
		Objects.requireNonNull(path, "path");
	}

	/**
	 * Returns the location of a whole source.
	 * @param source name of the source
	 * @return a location without line and path
	 */
	public static Location of(String source) {
		return new Location(source, 0, 0, "");
	}

	@Override
	public String toString() {
		StringBuilder text = new StringBuilder(this.source);
		if (this.line > 0) {
			text.append(':').append(this.line);
		}
		if (this.column > 0) {
			text.append(':').append(this.column);
		}
		if (!this.path.isEmpty()) {
			text.append(": ").append(this.path);
		}
		return text.toString();
	}

}
