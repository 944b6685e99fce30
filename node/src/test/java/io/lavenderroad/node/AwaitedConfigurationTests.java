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
 * Guards requests that reach a node which has just started against a refusal while its
 * configuration is on the way.
 */
public class AwaitedConfigurationTests {

	private static final MeshConfiguration CONFIGURATION = MeshConfiguration.EMPTY;

	private final AtomicLong now = new AtomicLong(1_000_000);

	@Test
	public void requestGetsTheConfigurationThatArrivesWhileItWaits() throws Exception {
		View view = new View();
		AwaitedConfiguration first = new AwaitedConfiguration(this.now::get, view);
		CompletableFuture<Optional<MeshConfiguration>> answer = CompletableFuture
			.supplyAsync(() -> first.await(Long.MAX_VALUE));
		view.asked.await();
		view.publish(CONFIGURATION);
		Assert.assertEquals(answer.get(), Optional.of(CONFIGURATION));
	}

	@Test
	public void nodeThatHasRunForAWhileAnswersAtOnce() {
		View view = new View();
		AwaitedConfiguration first = new AwaitedConfiguration(this.now::get, view);
		this.now.addAndGet(2_000);
		Assert.assertEquals(first.await(Long.MAX_VALUE), Optional.empty());
		Assert.assertEquals(view.asked.getCount(), 1, "it looked a second time, so it was about to wait");
	}

	/**
	 * Holds the configuration that the test publishes.
	 */
	private static final class View implements MeshView {

		private final CountDownLatch asked = new CountDownLatch(2);

		private volatile Optional<MeshConfiguration> configuration = Optional.empty();

		private volatile Runnable listener;

		@Override
		public Optional<MeshConfiguration> configuration() {
			this.asked.countDown();
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
