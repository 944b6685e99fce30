package io.lavenderroad.bench.cluster;

import java.io.IOException;
import java.net.InetSocketAddress;

import org.testng.annotations.Test;

/**
 * A closed proxy leaves its address to the next one.
 */
public class FaultProxyTests {

	private static final int ROUNDS = 200;

	/**
	 * Guards against a test that cannot start because the proxy of the test before it
	 * still holds the address.
	 */
	@Test
	public void addressCanBeBoundAfterClose() throws IOException, InterruptedException {
		InetSocketAddress listen = new InetSocketAddress("127.62.0.11", 7400);
		InetSocketAddress target = new InetSocketAddress("127.62.0.11", 7401);
		for (int round = 0; round < ROUNDS; round++) {
			FaultProxy proxy = FaultProxy.start(listen, target);
			Thread.sleep(1);
			proxy.close();
		}
	}

}
