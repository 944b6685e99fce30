package io.lavenderroad.core.wire;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Compresses parts of messages that are large and repetitive, in the zlib format.
 */
public final class Compression {

	private static final int BUFFER_BYTES = 16 * 1024;

	private Compression() {
	}

	/**
	 * Compresses bytes, with speed before size.
	 * @param bytes the bytes
	 * @return the compressed form
	 */
	public static byte[] compress(byte[] bytes) {
		try (Deflater deflater = new Deflater(Deflater.BEST_SPEED)) {
			deflater.setInput(bytes);
			deflater.finish();
			ByteArrayOutputStream output = new ByteArrayOutputStream(BUFFER_BYTES);
			byte[] buffer = new byte[BUFFER_BYTES];
			while (!deflater.finished()) {
				output.write(buffer, 0, deflater.deflate(buffer));
			}
			return output.toByteArray();
		}
	}

	/**
	 * Restores compressed bytes.
	 * @param compressed the compressed form
	 * @param length number of bytes that the sender states
	 * @return the bytes
	 * @throws WireException if the form is damaged or does not hold the stated number
	 */
	public static byte[] decompress(byte[] compressed, int length) {
		if (length < 0 || length > Fields.LARGEST_FIELD) {
			throw new WireException("compressed part of " + length + " bytes is outside 0 to " + Fields.LARGEST_FIELD);
		}
		try (Inflater inflater = new Inflater()) {
			inflater.setInput(compressed);
			byte[] bytes = new byte[length];
			int filled = 0;
			int count = 1;
			while (filled < length && count > 0) {
				count = inflater.inflate(bytes, filled, length - filled);
				filled += count;
			}
			boolean ended = inflater.finished() || inflater.inflate(new byte[1]) == 0 && inflater.finished();
			if (filled < length || !ended) {
				throw new WireException("compressed part does not hold the stated " + length + " bytes");
			}
			return bytes;
		}
		catch (DataFormatException ex) {
			throw new WireException("compressed part is damaged: " + ex.getMessage(), ex);
		}
	}

}
