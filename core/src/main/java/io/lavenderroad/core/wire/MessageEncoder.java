package io.lavenderroad.core.wire;

import java.io.IOException;

import org.msgpack.core.MessagePacker;

/**
 * Encodes the fields of a message as MessagePack.
 *
 * @param <T> type of the message
 */
@FunctionalInterface
public interface MessageEncoder<T> {

	/**
	 * Encodes a message.
	 * @param message the message
	 * @param packer destination of the fields
	 * @throws IOException if the packer fails
	 */
	void encode(T message, MessagePacker packer) throws IOException;

}
