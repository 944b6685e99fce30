package io.lavenderroad.node;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;

import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.MeshView;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against refusals of requests that reach a node shortly after its start, before
 * its first configuration arrives.
 */
public class ConfigurationAwaiterTests {

	private static final MeshConfiguration CONFIGURATION = MeshConfiguration.EMPTY;

	private final AtomicLong now = new AtomicLong(1_000_000);

	@Test
	public void requestGetsTheConfigurationThatArrivesWhileItWaits() throws Exception {
		View view = new View();
		ConfigurationAwaiter awaiter = new ConfigurationAwaiter(this.now::get, view);
		CompletableFuture<Optional<MeshConfiguration>> answer = CompletableFuture
			.supplyAsync(() -> awaiter.await(Long.MAX_VALUE));
		view.reads.await();
		view.publish(CONFIGURATION);
		Assert.assertEquals(answer.get(), Optional.of(CONFIGURATION));
	}

	@Test
	public void nodeThatStartedEarlierDoesNotWait() {
		View view = new View();
		ConfigurationAwaiter awaiter = new ConfigurationAwaiter(this.now::get, view);
		this.now.addAndGet(2_000);
		Assert.assertEquals(awaiter.await(Long.MAX_VALUE), Optional.empty());
		Assert.assertEquals(view.reads.getCount(), 1,
				"the configuration was read a second time, so the request started to wait");
	}

	/**
	 * Holds the configuration that the test publishes.
	 */
	private static final class View implements MeshView {

		private final CountDownLatch reads = new CountDownLatch(2);

		private volatile Optional<MeshConfiguration> configuration = Optional.empty();

		private volatile Runnable listener;

		@Override
		public Optional<MeshConfiguration> configuration() {
			this.reads.countDown();
			return this.configuration;
		}

		@Override
		public List<Endpoint> endpoints(String service) {
			return List.of();
		}

		@Override
		public void onChange(Runnable added) {
			this.listener = added;
		}

		void publish(MeshConfiguration published) {
			this.configuration = Optional.of(published);
			this.listener.run();
		}

	}

}
