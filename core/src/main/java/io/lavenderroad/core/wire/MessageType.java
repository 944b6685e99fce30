package io.lavenderroad.core.wire;

import java.util.Objects;

/**
 * Associates a message class with its code on the wire, its encoder and its decoder.
 *
 * @param <T> type of the message
 * @param code code on the wire; unique in a {@link MessageCatalog}
 * @param type class of the message
 * @param encoder writes the fields
 * @param decoder reads the fields
 */
public record MessageType<T>(int code, Class<T> type, MessageEncoder<T> encoder, MessageDecoder<T> decoder) {

	public MessageType {
		Objects.requireNonNull(type, "type");
		Objects.requireNonNull(encoder, "encoder");
		Objects.requireNonNull(decoder, "decoder");
	}

}
