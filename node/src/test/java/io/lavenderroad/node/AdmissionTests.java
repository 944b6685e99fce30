package io.lavenderroad.node;

import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.lavenderroad.core.Clock;
import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.model.ServiceLimits;
import io.lavenderroad.node.http.Cancellation;
import io.vavr.control.Either;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against leaked slots, calls that stay queued past their deadline or after their
 * caller has left, and a drain that admits queued calls.
 */
public class AdmissionTests {

	private static final long WAIT_SECONDS = 30;

	private final Clock clock = Clock.system();

	private final Admission admission = new Admission(this.clock, new Random(1), 1, true);

	@Test
	public void waitingCallEndsAsNotRunAndTheSlotIsNotLost() throws Exception {
		Admission.Slot slot = acquire(60_000, new Cancellation()).get();
		CallAnswer expired = acquire(20, new Cancellation()).getLeft();
		Assert.assertEquals(expired.status(), 504);
		Assert.assertEquals(expired.verdict(), ExecutionVerdict.NOT_RUN);
		Cancellation disconnect = new Cancellation();
		CompletableFuture<Either<CallAnswer, Admission.Slot>> waiting = CompletableFuture
			.supplyAsync(() -> acquire(60_000, disconnect));
		awaitLoad(2);
		disconnect.cancel();
		Assert.assertEquals(waiting.get(WAIT_SECONDS, TimeUnit.SECONDS).getLeft().verdict(), ExecutionVerdict.NOT_RUN);
		awaitLoad(1);
		slot.release(-1);
		Admission.Slot next = acquire(60_000, new Cancellation()).get();
		CompletableFuture<Either<CallAnswer, Admission.Slot>> drained = CompletableFuture
			.supplyAsync(() -> acquire(60_000, new Cancellation()));
		awaitLoad(2);
		Assert.assertTrue(this.admission.drain());
		Assert.assertEquals(drained.get(WAIT_SECONDS, TimeUnit.SECONDS).getLeft().verdict(), ExecutionVerdict.NOT_RUN);
		Assert.assertEquals(acquire(60_000, new Cancellation()).getLeft().verdict(), ExecutionVerdict.NOT_RUN);
		Assert.assertFalse(this.admission.awaitIdle(0));
		next.release(-1);
		Assert.assertTrue(this.admission.awaitIdle(0));
	}

	private void awaitLoad(int load) throws InterruptedException {
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
		while (this.admission.load() != load) {
			Assert.assertTrue(System.nanoTime() < end, "load is " + this.admission.load());
			Thread.sleep(1);
		}
	}

	private Either<CallAnswer, Admission.Slot> acquire(long remainingMillis, Cancellation cancellation) {
		return this.admission.acquire("shop", this.clock.millis() + remainingMillis, ServiceLimits.DEFAULT,
				cancellation);
	}

}
