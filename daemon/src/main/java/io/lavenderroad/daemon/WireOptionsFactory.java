package io.lavenderroad.daemon;

import java.util.List;

import io.lavenderroad.core.Clock;
import io.lavenderroad.core.wire.Hello;
import io.lavenderroad.core.wire.MessageCatalog;
import io.lavenderroad.core.wire.MessageType;
import io.lavenderroad.core.wire.TlsKeys;
import io.lavenderroad.core.wire.WireOptions;

/**
 * Creates the connection options of a daemon from its settings.
 */
final class WireOptionsFactory {

	private WireOptionsFactory() {
	}

	@SafeVarargs
	static WireOptions create(DaemonSettings settings, Clock clock, List<MessageType<?>>... types) {
		return create(settings, settings.id(), clock, types);
	}

	@SafeVarargs
	static WireOptions create(DaemonSettings settings, String id, Clock clock, List<MessageType<?>>... types) {
		MessageCatalog.Builder catalog = MessageCatalog.builder();
		for (List<MessageType<?>> group : types) {
			catalog.addAll(group);
		}
		WireOptions.Builder options = WireOptions.builder()
			.hello(new Hello(settings.cluster(), id, settings.role(), clock.millis(), settings.frameAddress()))
			.catalog(catalog.build())
			.clock(clock)
			.localAddress(settings.socketAddress(settings.ports().frames()).getAddress());
		settings.tls()
			.ifPresent((tls) -> options.tls(TlsKeys.load(tls.keyStore(), tls.trustStore(), tls.passwordFile())));
		return options.build();
	}

}
