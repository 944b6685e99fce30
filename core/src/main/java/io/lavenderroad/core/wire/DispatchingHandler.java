package io.lavenderroad.core.wire;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

import io.lavenderroad.core.LavenderroadException;

/**
 * Shares one connection among several parts of a process. Each message goes to the part
 * that registered its class; the closing of a connection is told to all parts.
 */
public final class DispatchingHandler implements ConnectionHandler {

	private final Map<Class<?>, ConnectionHandler> byClass;

	private final Set<ConnectionHandler> parts;

	private DispatchingHandler(Builder builder) {
		this.byClass = Map.copyOf(builder.byClass);
		this.parts = Set.copyOf(builder.parts);
	}

	/**
	 * Creates an empty builder.
	 * @return the builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	@Override
	public void received(Connection connection, Object message) {
		find(message).received(connection, message);
	}

	@Override
	public Object answer(Connection connection, Object request) {
		return find(request).answer(connection, request);
	}

	@Override
	public void closed(Connection connection, String reason) {
		this.parts.forEach((part) -> part.closed(connection, reason));
	}

	private ConnectionHandler find(Object message) {
		ConnectionHandler part = this.byClass.get(message.getClass());
		if (part == null) {
			throw new WireException("this process does not handle " + message.getClass().getSimpleName());
		}
		return part;
	}

	/**
	 * Collects the parts.
	 */
	public static final class Builder {

		private final Map<Class<?>, ConnectionHandler> byClass = new HashMap<>();

		private final Set<ConnectionHandler> parts = new LinkedHashSet<>();

		private Builder() {
		}

		/**
		 * Adds a part.
		 * @param types message types that the part handles
		 * @param part the part
		 * @return this builder
		 * @throws LavenderroadException if another part handles one of the types
		 */
		public Builder add(Iterable<MessageType<?>> types, ConnectionHandler part) {
			this.parts.add(part);
			for (MessageType<?> type : types) {
				if (this.byClass.putIfAbsent(type.type(), part) != null) {
					throw new LavenderroadException("message " + type.type().getName() + " has two handlers");
				}
			}
			return this;
		}

		/**
		 * Creates the handler.
		 * @return the handler
		 */
		public DispatchingHandler build() {
			return new DispatchingHandler(this);
		}

	}

}
