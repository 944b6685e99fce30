package io.lavenderroad.core.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.msgpack.core.MessageFormat;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Utilities for encoders and decoders. Lengths stated by the sender are checked against a
 * limit before memory is allocated for them.
 */
public final class Fields {

	/**
	 * Maximum size that a reader accepts: bytes of a text or byte array, elements of a
	 * list or map.
	 */
	public static final int MAXIMUM_FIELD_SIZE = 16 * 1024 * 1024;

	private static final int INITIAL_LIST_CAPACITY = 64;

	private static final MessagePack.UnpackerConfig UNPACKER = new MessagePack.UnpackerConfig()
		.withStringSizeLimit(MAXIMUM_FIELD_SIZE);

	private Fields() {
	}

	/**
	 * Creates an unpacker that limits the size of texts.
	 * @param bytes the input
	 * @return the unpacker
	 */
	public static MessageUnpacker unpacker(byte[] bytes) {
		return UNPACKER.newUnpacker(bytes);
	}

	/**
	 * Writes an optional text.
	 * @param packer destination
	 * @param value the text
	 * @throws IOException if the packer fails
	 */
	public static void packOptionalText(MessagePacker packer, Optional<String> value) throws IOException {
		if (value.isPresent()) {
			packer.packString(value.get());
		}
		else {
			packer.packNil();
		}
	}

	/**
	 * Reads an optional text.
	 * @param unpacker source
	 * @return the text
	 * @throws IOException if the input is truncated
	 */
	public static Optional<String> unpackOptionalText(MessageUnpacker unpacker) throws IOException {
		if (unpacker.getNextFormat() == MessageFormat.NIL) {
			unpacker.unpackNil();
			return Optional.empty();
		}
		return Optional.of(unpacker.unpackString());
	}

	/**
	 * Checks that a record has been read to its end. What stands behind it was written by
	 * a later version, and the record without it would mean something else.
	 * @param unpacker source
	 * @throws IOException if more fields follow
	 */
	public static void checkEnd(MessageUnpacker unpacker) throws IOException {
		if (unpacker.hasNext()) {
			throw new WireException("more fields follow than this version knows");
		}
	}

	/**
	 * Writes a byte array.
	 * @param packer destination
	 * @param value the bytes
	 * @throws IOException if the packer fails
	 */
	public static void packBytes(MessagePacker packer, byte[] value) throws IOException {
		packer.packBinaryHeader(value.length);
		packer.writePayload(value);
	}

	/**
	 * Reads a byte array.
	 * @param unpacker source
	 * @return the bytes
	 * @throws IOException if the input is truncated
	 */
	public static byte[] unpackBytes(MessageUnpacker unpacker) throws IOException {
		return unpacker.readPayload(checkSize(unpacker.unpackBinaryHeader()));
	}

	/**
	 * Writes a list.
	 * @param <T> type of the elements
	 * @param packer destination
	 * @param values the elements
	 * @param encoder writes one element
	 * @throws IOException if the packer fails
	 */
	public static <T> void packList(MessagePacker packer, Collection<T> values, MessageEncoder<T> encoder)
			throws IOException {
		packer.packArrayHeader(values.size());
		for (T value : values) {
			encoder.encode(value, packer);
		}
	}

	/**
	 * Reads a list.
	 * @param <T> type of the elements
	 * @param unpacker source
	 * @param decoder reads one element
	 * @return the elements, unmodifiable
	 * @throws IOException if the input is truncated
	 */
	public static <T> List<T> unpackList(MessageUnpacker unpacker, MessageDecoder<T> decoder) throws IOException {
		int size = checkSize(unpacker.unpackArrayHeader());
		List<T> values = new ArrayList<>(Math.min(size, INITIAL_LIST_CAPACITY));
		for (int index = 0; index < size; index++) {
			values.add(decoder.decode(unpacker));
		}
		return List.copyOf(values);
	}

	/**
	 * Writes a map with text keys.
	 * @param <T> type of the values
	 * @param packer destination
	 * @param values the entries, written in the order of the map
	 * @param encoder writes one value
	 * @throws IOException if the packer fails
	 */
	public static <T> void packMap(MessagePacker packer, Map<String, T> values, MessageEncoder<T> encoder)
			throws IOException {
		packer.packMapHeader(values.size());
		for (Map.Entry<String, T> entry : values.entrySet()) {
			packer.packString(entry.getKey());
			encoder.encode(entry.getValue(), packer);
		}
	}

	/**
	 * Reads a map with text keys.
	 * @param <T> type of the values
	 * @param unpacker source
	 * @param decoder reads one value
	 * @return a new sorted map
	 * @throws IOException if the input is truncated
	 */
	public static <T> TreeMap<String, T> unpackMap(MessageUnpacker unpacker, MessageDecoder<T> decoder)
			throws IOException {
		int size = checkSize(unpacker.unpackMapHeader());
		TreeMap<String, T> values = new TreeMap<>();
		for (int index = 0; index < size; index++) {
			String key = unpacker.unpackString();
			values.put(key, decoder.decode(unpacker));
		}
		return values;
	}

	private static int checkSize(int size) {
		if (size < 0 || size > MAXIMUM_FIELD_SIZE) {
			throw new WireException("field of " + size + " elements is over the limit of " + MAXIMUM_FIELD_SIZE);
		}
		return size;
	}

}
