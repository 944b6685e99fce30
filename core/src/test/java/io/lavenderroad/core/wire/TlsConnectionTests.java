package io.lavenderroad.core.wire;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;

import javax.net.ssl.SSLContext;

import io.vavr.control.Either;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against peers that join without a trusted certificate.
 */
public class TlsConnectionTests {

	private static final int TIMEOUT_MILLIS = 20_000;

	@Test
	public void peerWithATrustedCertificateIsAccepted() throws Exception {
		try (FrameServer server = start("cluster")) {
			Connection connection = Connection.open(server.address(), options(keys("cluster")), new NoOpHandler())
				.get();
			Assert.assertEquals(connection.peer().senderId(), "test");
			connection.close();
		}
	}

	@Test
	public void peerWithoutATrustedCertificateIsRefused() throws Exception {
		try (FrameServer server = start("cluster")) {
			Either<CallFailure, Connection> untrusted = Connection.open(server.address(), options(keys("stranger")),
					new NoOpHandler());
			Assert.assertTrue(untrusted.isLeft());
			Either<CallFailure, Connection> plain = Connection.open(server.address(), options(null), new NoOpHandler());
			Assert.assertTrue(plain.isLeft());
		}
	}

	@Test
	public void peerThatTrustsTheServerButHasAnUntrustedKeyIsRefused() throws Exception {
		SSLContext mixed = TlsKeys.load(file("stranger.p12"), file("cluster-trust.p12"), file("password"));
		try (FrameServer server = start("cluster")) {
			Assert.assertTrue(Connection.open(server.address(), options(mixed), new NoOpHandler()).isLeft());
		}
	}

	private static FrameServer start(String keys) throws Exception {
		return FrameServer.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), options(keys(keys)),
				new NoOpHandler());
	}

	private static SSLContext keys(String name) {
		return TlsKeys.load(file(name + ".p12"), file(name + "-trust.p12"), file("password"));
	}

	private static Path file(String name) {
		return Path.of("src/test/resources/tls", name);
	}

	private static WireOptions options(SSLContext tls) {
		return WireOptions.builder()
			.hello(new Hello("east", "test", "node", 1, ""))
			.catalog(MessageCatalog.builder().build())
			.connectTimeoutMillis(TIMEOUT_MILLIS)
			.receiveTimeoutMillis(TIMEOUT_MILLIS)
			.tls(tls)
			.build();
	}

	private static final class NoOpHandler implements ConnectionHandler {

		@Override
		public void received(Connection connection, Object message) {
		}

		@Override
		public Object answer(Connection connection, Object request) {
			return request;
		}

	}

}
