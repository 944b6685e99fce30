package io.lavenderroad.core.wire;

import java.net.InetAddress;
import java.util.Objects;
import java.util.Optional;

import javax.net.ssl.SSLContext;

import io.lavenderroad.core.Clock;

/**
 * Configuration shared by the connections of a process.
 */
public final class WireOptions {

	private final Hello hello;

	private final MessageCatalog catalog;

	private final Clock clock;

	private final int largestFrameBytes;

	private final int connectTimeoutMillis;

	private final int heartbeatMillis;

	private final int silenceLimitMillis;

	private final int mostConnections;

	private final SSLContext tls;

	private final InetAddress localAddress;

	private final ConnectionWatch watch = new ConnectionWatch();

	private WireOptions(Builder builder) {
		this.hello = Objects.requireNonNull(builder.hello, "hello");
		this.catalog = Objects.requireNonNull(builder.catalog, "catalog");
		this.clock = builder.clock;
		this.largestFrameBytes = builder.largestFrameBytes;
		this.connectTimeoutMillis = builder.connectTimeoutMillis;
		this.heartbeatMillis = builder.heartbeatMillis;
		this.silenceLimitMillis = builder.silenceLimitMillis;
		this.mostConnections = builder.mostConnections;
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
	 * Returns what this process says of itself first.
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
	 * Returns the clock for heartbeats and time-outs.
	 * @return the clock
	 */
	public Clock clock() {
		return this.clock;
	}

	/**
	 * Returns the largest accepted frame.
	 * @return bytes
	 */
	public int largestFrameBytes() {
		return this.largestFrameBytes;
	}

	/**
	 * Returns how long connecting and the hello may take.
	 * @return milliseconds
	 */
	public int connectTimeoutMillis() {
		return this.connectTimeoutMillis;
	}

	ConnectionWatch watch() {
		return this.watch;
	}

	/**
	 * Returns after how much own silence a heartbeat is sent on a connection in use.
	 * @return milliseconds
	 */
	public int heartbeatMillis() {
		return this.heartbeatMillis;
	}

	/**
	 * Returns after how much silence of the peer a connection in use is closed.
	 * @return milliseconds
	 */
	public int silenceLimitMillis() {
		return this.silenceLimitMillis;
	}

	/**
	 * Returns how many connections a server accepts at the same time.
	 * @return count
	 */
	public int mostConnections() {
		return this.mostConnections;
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
	 * packet filters see the address from the settings.
	 * @return the address, or empty to let the system choose
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

		private int largestFrameBytes = 8 * 1024 * 1024;

		private int connectTimeoutMillis = 1_000;

		private int heartbeatMillis = 1_000;

		private int silenceLimitMillis = 2_500;

		private int mostConnections = 4_096;

		private SSLContext tls;

		private InetAddress localAddress;

		private Builder() {
		}

		/**
		 * Sets what this process says of itself.
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
		 * Sets the largest accepted frame.
		 * @param bytes the limit
		 * @return this builder
		 */
		public Builder largestFrameBytes(int bytes) {
			this.largestFrameBytes = bytes;
			return this;
		}

		/**
		 * Sets how long connecting and the hello may take.
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
		 * Sets the longest silence of a live peer.
		 * @param millis the limit
		 * @return this builder
		 */
		public Builder silenceLimitMillis(int millis) {
			this.silenceLimitMillis = millis;
			return this;
		}

		/**
		 * Sets how many connections a server accepts at the same time.
		 * @param count the limit
		 * @return this builder
		 */
		public Builder mostConnections(int count) {
			this.mostConnections = count;
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
