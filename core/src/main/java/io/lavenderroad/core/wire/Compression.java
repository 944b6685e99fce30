package io.lavenderroad.core.wire;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Compresses large, repetitive parts of messages in the zlib format.
 */
public final class Compression {

	private static final int BUFFER_BYTES = 16 * 1024;

	private Compression() {
	}

	/**
	 * Compresses bytes, favouring speed over size.
	 * @param bytes the bytes
	 * @return the compressed bytes
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
	 * Decompresses bytes.
	 * @param compressed the compressed bytes
	 * @param length length after decompression, as stated by the sender
	 * @return the bytes
	 * @throws WireException if the data is corrupt or does not have the stated length
	 */
	public static byte[] decompress(byte[] compressed, int length) {
		if (length < 0 || length > Fields.MAXIMUM_FIELD_SIZE) {
			throw new WireException(
					"compressed part of " + length + " bytes is outside 0 to " + Fields.MAXIMUM_FIELD_SIZE);
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
			boolean complete = inflater.finished() || inflater.inflate(new byte[1]) == 0 && inflater.finished();
			if (filled < length || !complete) {
				throw new WireException("compressed part does not hold the stated " + length + " bytes");
			}
			return bytes;
		}
		catch (DataFormatException ex) {
			throw new WireException("compressed part is damaged: " + ex.getMessage(), ex);
		}
	}

}
