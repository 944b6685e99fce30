package io.lavenderroad.core.wire;

import java.io.IOException;

import org.msgpack.core.MessageUnpacker;

/**
 * Decodes the fields of a message from MessagePack, in the order in which the encoder
 * wrote them. Lists, texts and byte arrays are read with {@link Fields}, which limits
 * their sizes.
 *
 * @param <T> type of the message
 */
@FunctionalInterface
public interface MessageDecoder<T> {

	/**
	 * Decodes a message.
	 * @param unpacker source of the fields
	 * @return the message
	 * @throws IOException if the input is truncated
	 */
	T decode(MessageUnpacker unpacker) throws IOException;

}
