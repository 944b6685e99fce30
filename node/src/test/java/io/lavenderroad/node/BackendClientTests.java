package io.lavenderroad.node;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;

import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.node.http.BackendExchange;
import io.lavenderroad.node.http.BackendPool;
import io.lavenderroad.node.http.CallerMemory;
import io.lavenderroad.node.http.Cancellation;
import io.lavenderroad.node.http.KeepAlive;
import io.lavenderroad.policy.calls.CallOrigin;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against a backend server that gets no work until its next announcement although
 * only a caller has gone.
 */
public class BackendClientTests {

	private final AtomicInteger unreachable = new AtomicInteger();

	@Test
	public void onlyARefusedConnectionMakesABackendServerUnreachable() throws Exception {
		try (ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor()) {
			ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
			InetSocketAddress address = (InetSocketAddress) unused.getLocalSocketAddress();
			BackendPool pool = new BackendPool(address, () -> 0);
			BackendClient client = new BackendClient(
					new BackendExchange(pool, CallerMemory.ofHeap(), timer, 1_000, KeepAlive::millis),
					new MeshDialect(), "h", () -> false);
			Cancellation gone = new Cancellation();
			gone.cancel();
			Assert.assertEquals(run(client, "/a", gone).verdict(), ExecutionVerdict.NOT_RUN);
			Assert.assertEquals(run(client, "a", new Cancellation()).verdict(), ExecutionVerdict.NOT_RUN);
			Assert.assertEquals(this.unreachable.get(), 0);
			unused.close();
			Assert.assertEquals(run(client, "/a", new Cancellation()).verdict(), ExecutionVerdict.NOT_RUN);
			Assert.assertEquals(this.unreachable.get(), 1);
			pool.close();
		}
	}

	private CallAnswer run(BackendClient client, String target, Cancellation cancellation) {
		CallMetadata metadata = new CallMetadata("r1", "counter", true, CallOrigin.CALLER, 0, 100, "");
		CallRequest request = new CallRequest(1, "catalogue", "v1", "route", "GET", target, List.of(), new byte[0], "",
				"", 1_000, 0, metadata);
		return client.run(request, "", 5_000, cancellation, this.unreachable::incrementAndGet);
	}

}
