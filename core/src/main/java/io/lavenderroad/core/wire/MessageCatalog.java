package io.lavenderroad.core.wire;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

import io.lavenderroad.core.LavenderroadException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * The message types that a connection can encode and decode.
 */
public final class MessageCatalog {

	private final Map<Integer, MessageType<?>> byCode;

	private final Map<Class<?>, MessageType<?>> byClass;

	private MessageCatalog(Builder builder) {
		this.byCode = Map.copyOf(builder.byCode);
		this.byClass = Map.copyOf(builder.byClass);
	}

	/**
	 * Creates an empty builder.
	 * @return the builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Writes the code and the fields of a message.
	 * @param message the message
	 * @param packer destination
	 * @throws IOException if the packer fails
	 * @throws LavenderroadException if the class is not in the catalog
	 */
	@SuppressWarnings("unchecked")
	public void encode(Object message, MessagePacker packer) throws IOException {
		MessageType<Object> type = (MessageType<Object>) this.byClass.get(message.getClass());
		if (type == null) {
			throw new LavenderroadException("message class " + message.getClass().getName() + " is not in the catalog");
		}
		packer.packInt(type.code());
		type.encoder().encode(message, packer);
	}

	/**
	 * Reads the code and the fields of a message.
	 * @param unpacker source
	 * @return the message
	 * @throws IOException if the input is truncated
	 * @throws WireException if the code is unknown
	 */
	public Object decode(MessageUnpacker unpacker) throws IOException {
		int code = unpacker.unpackInt();
		MessageType<?> type = this.byCode.get(code);
		if (type == null) {
			throw new WireException("unknown message code " + code);
		}
		return type.decoder().decode(unpacker);
	}

	/**
	 * Builds {@link MessageCatalog}.
	 */
	public static final class Builder {

		private final Map<Integer, MessageType<?>> byCode = new HashMap<>();

		private final Map<Class<?>, MessageType<?>> byClass = new HashMap<>();

		private Builder() {
		}

		/**
		 * Adds a message type.
		 * @param type the type
		 * @return this builder
		 * @throws LavenderroadException if the code or the class is already in use
		 */
		public Builder add(MessageType<?> type) {
			if (this.byCode.putIfAbsent(type.code(), type) != null) {
				throw new LavenderroadException("message code " + type.code() + " is used twice");
			}
			if (this.byClass.putIfAbsent(type.type(), type) != null) {
				throw new LavenderroadException("message " + type.type().getName() + " is added twice");
			}
			return this;
		}

		/**
		 * Adds several message types.
		 * @param types the types
		 * @return this builder
		 */
		public Builder addAll(Iterable<MessageType<?>> types) {
			types.forEach(this::add);
			return this;
		}

		/**
		 * Creates the catalog.
		 * @return the catalog
		 */
		public MessageCatalog build() {
			return new MessageCatalog(this);
		}

	}

}
