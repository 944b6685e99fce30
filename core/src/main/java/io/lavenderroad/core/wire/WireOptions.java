package io.lavenderroad.core.wire;

import java.net.InetAddress;
import java.util.Objects;
import java.util.Optional;

import javax.net.ssl.SSLContext;

import io.lavenderroad.core.Clock;

/**
 * Options shared by the connections of a process.
 */
public final class WireOptions {

	private final Hello hello;

	private final MessageCatalog catalog;

	private final Clock clock;

	private final int maximumFrameBytes;

	private final int connectTimeoutMillis;

	private final int heartbeatMillis;

	private final int receiveTimeoutMillis;

	private final int maximumConnections;

	private final SSLContext tls;

	private final InetAddress localAddress;

	private final ConnectionMonitor monitor = new ConnectionMonitor();

	private WireOptions(Builder builder) {
		this.hello = Objects.requireNonNull(builder.hello, "hello");
		this.catalog = Objects.requireNonNull(builder.catalog, "catalog");
		this.clock = builder.clock;
		this.maximumFrameBytes = builder.maximumFrameBytes;
		this.connectTimeoutMillis = builder.connectTimeoutMillis;
		this.heartbeatMillis = builder.heartbeatMillis;
		this.receiveTimeoutMillis = builder.receiveTimeoutMillis;
		this.maximumConnections = builder.maximumConnections;
		this.tls = builder.tls;
		this.localAddress = builder.localAddress;
	}

	/**
	 * Creates a builder with the default limits.
	 * @return the builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Returns the handshake message of this process.
	 * @return the hello
	 */
	public Hello hello() {
		return this.hello;
	}

	/**
	 * Returns the known message types.
	 * @return the catalog
	 */
	public MessageCatalog catalog() {
		return this.catalog;
	}

	/**
	 * Returns the clock for heartbeats and timeouts.
	 * @return the clock
	 */
	public Clock clock() {
		return this.clock;
	}

	/**
	 * Returns the maximum size of an accepted frame.
	 * @return bytes
	 */
	public int maximumFrameBytes() {
		return this.maximumFrameBytes;
	}

	/**
	 * Returns the timeout for connecting and for the handshake.
	 * @return milliseconds
	 */
	public int connectTimeoutMillis() {
		return this.connectTimeoutMillis;
	}

	ConnectionMonitor monitor() {
		return this.monitor;
	}

	/**
	 * Returns after which time without a sent frame a heartbeat is sent on a connection
	 * in use.
	 * @return milliseconds
	 */
	public int heartbeatMillis() {
		return this.heartbeatMillis;
	}

	/**
	 * Returns after which time without received bytes a connection in use is closed.
	 * @return milliseconds
	 */
	public int receiveTimeoutMillis() {
		return this.receiveTimeoutMillis;
	}

	/**
	 * Returns the maximum number of open connections of a server.
	 * @return number of connections
	 */
	public int maximumConnections() {
		return this.maximumConnections;
	}

	/**
	 * Returns the keys for TLS.
	 * @return the context, or empty for plain TCP
	 */
	public Optional<SSLContext> tls() {
		return Optional.ofNullable(this.tls);
	}

	/**
	 * Returns the address that outgoing connections are bound to, so that peers and
	 * packet filters see the configured address.
	 * @return the address, or empty if the operating system selects it
	 */
	public Optional<InetAddress> localAddress() {
		return Optional.ofNullable(this.localAddress);
	}

	/**
	 * Builds {@link WireOptions}.
	 */
	public static final class Builder {

		private Hello hello;

		private MessageCatalog catalog;

		private Clock clock = Clock.system();

		private int maximumFrameBytes = 8 * 1024 * 1024;

		private int connectTimeoutMillis = 1_000;

		private int heartbeatMillis = 1_000;

		private int receiveTimeoutMillis = 2_500;

		private int maximumConnections = 4_096;

		private SSLContext tls;

		private InetAddress localAddress;

		private Builder() {
		}

		/**
		 * Sets the handshake message of this process.
		 * @param hello the hello
		 * @return this builder
		 */
		public Builder hello(Hello hello) {
			this.hello = hello;
			return this;
		}

		/**
		 * Sets the known message types.
		 * @param catalog the catalog
		 * @return this builder
		 */
		public Builder catalog(MessageCatalog catalog) {
			this.catalog = catalog;
			return this;
		}

		/**
		 * Sets the clock.
		 * @param clock the clock
		 * @return this builder
		 */
		public Builder clock(Clock clock) {
			this.clock = clock;
			return this;
		}

		/**
		 * Sets the maximum size of an accepted frame.
		 * @param bytes the limit
		 * @return this builder
		 */
		public Builder maximumFrameBytes(int bytes) {
			this.maximumFrameBytes = bytes;
			return this;
		}

		/**
		 * Sets the timeout for connecting and for the handshake.
		 * @param millis the limit
		 * @return this builder
		 */
		public Builder connectTimeoutMillis(int millis) {
			this.connectTimeoutMillis = millis;
			return this;
		}

		/**
		 * Sets the heartbeat interval.
		 * @param millis the interval
		 * @return this builder
		 */
		public Builder heartbeatMillis(int millis) {
			this.heartbeatMillis = millis;
			return this;
		}

		/**
		 * Sets after which time without received bytes a connection in use is closed.
		 * @param millis the limit
		 * @return this builder
		 */
		public Builder receiveTimeoutMillis(int millis) {
			this.receiveTimeoutMillis = millis;
			return this;
		}

		/**
		 * Sets the maximum number of open connections of a server.
		 * @param count the limit
		 * @return this builder
		 */
		public Builder maximumConnections(int count) {
			this.maximumConnections = count;
			return this;
		}

		/**
		 * Sets the keys for TLS.
		 * @param tls the context
		 * @return this builder
		 */
		public Builder tls(SSLContext tls) {
			this.tls = tls;
			return this;
		}

		/**
		 * Sets the address that outgoing connections are bound to.
		 * @param localAddress an address of this VM
		 * @return this builder
		 */
		public Builder localAddress(InetAddress localAddress) {
			this.localAddress = localAddress;
			return this;
		}

		/**
		 * Creates the options.
		 * @return the options
		 */
		public WireOptions build() {
			return new WireOptions(this);
		}

	}

}
