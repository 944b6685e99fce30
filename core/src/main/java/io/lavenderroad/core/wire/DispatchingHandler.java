package io.lavenderroad.core.wire;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

import io.lavenderroad.core.LavenderroadException;

/**
 * Shares one connection among several handlers. Each message is dispatched to the handler
 * that is registered for its class; all handlers are notified when a connection closes.
 */
public final class DispatchingHandler implements ConnectionHandler {

	private final Map<Class<?>, ConnectionHandler> byClass;

	private final Set<ConnectionHandler> handlers;

	private DispatchingHandler(Builder builder) {
		this.byClass = Map.copyOf(builder.byClass);
		this.handlers = Set.copyOf(builder.handlers);
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
		this.handlers.forEach((handler) -> handler.closed(connection, reason));
	}

	private ConnectionHandler find(Object message) {
		ConnectionHandler handler = this.byClass.get(message.getClass());
		if (handler == null) {
			throw new WireException("this process does not handle " + message.getClass().getSimpleName());
		}
		return handler;
	}

	/**
	 * Collects the handlers.
	 */
	public static final class Builder {

		private final Map<Class<?>, ConnectionHandler> byClass = new HashMap<>();

		private final Set<ConnectionHandler> handlers = new LinkedHashSet<>();

		private Builder() {
		}

		/**
		 * Adds a handler.
		 * @param types message types that it handles
		 * @param handler the handler
		 * @return this builder
		 * @throws LavenderroadException if another handler is registered for one of the
		 * types
		 */
		public Builder add(Iterable<MessageType<?>> types, ConnectionHandler handler) {
			this.handlers.add(handler);
			for (MessageType<?> type : types) {
				if (this.byClass.putIfAbsent(type.type(), handler) != null) {
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
