package io.lavenderroad.policy.calls;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against a single customer filling the queue, ignored deadlines, and slots that
 * stay free while calls wait.
 */
public class AdmissionQueueTests {

	private static final long LATER = 1_000;

	@Test
	public void customersTakeTurns() {
		AdmissionQueue<String> queue = new AdmissionQueue<>(1, 10, 10_000);
		queue.offer("running", "large", 0, LATER);
		queue.offer("large 1", "large", 0, LATER);
		queue.offer("large 2", "large", 0, LATER);
		queue.offer("large 3", "large", 0, LATER);
		queue.offer("small 1", "small", 0, LATER);
		List<String> order = new ArrayList<>();
		String customer = "large";
		for (Optional<String> next = queue.release(customer, -1, 1); next.isPresent();) {
			order.add(next.get());
			customer = next.get().substring(0, 5);
			next = queue.release(customer, -1, 1);
		}
		Assert.assertTrue(order.indexOf("small 1") <= 1, "small customer waits behind a large one: " + order);
		Assert.assertEquals(order.size(), 4);
	}

	@Test
	public void callOfACustomerOverItsShareIsEvictedForAnotherCustomer() {
		AdmissionQueue<String> queue = new AdmissionQueue<>(1, 4, 5_000);
		queue.offer("running", "large", 0, LATER);
		for (int index = 1; index <= 4; index++) {
			queue.offer("large " + index, "large", 0, LATER);
		}
		Assert.assertEquals(queue.offer("small", "small", 0, LATER), AdmissionDecision.FULL);
		Assert.assertEquals(queue.evictForCustomer("small", 0), Optional.of("large 4"));
		Assert.assertEquals(queue.offer("small", "small", 0, LATER), AdmissionDecision.WAIT);
		Assert.assertEquals(queue.offer("large 5", "large", 0, LATER), AdmissionDecision.OVER_SHARE);
	}

	@Test
	public void callThatWouldEndAfterItsDeadlineIsRefusedImmediately() {
		AdmissionQueue<String> queue = new AdmissionQueue<>(1, 10, 10_000);
		queue.offer("first", "a", 0, LATER);
		queue.release("a", 100, 100);
		queue.offer("running", "a", 100, LATER);
		Assert.assertEquals(queue.offer("hurried", "a", 100, 250), AdmissionDecision.TOO_LATE);
		Assert.assertEquals(queue.offer("patient", "a", 100, 500), AdmissionDecision.WAIT);
		Assert.assertEquals(queue.offer("late", "a", 100, 100), AdmissionDecision.TOO_LATE);
	}

	@Test
	public void noCallWaitsWhileASlotIsFree() {
		AdmissionQueue<String> queue = new AdmissionQueue<>(1, 10, 10_000);
		queue.offer("running", "a", 0, LATER);
		queue.offer("overdue", "a", 0, 10);
		Assert.assertEquals(queue.release("a", -1, 20), Optional.empty());
		Assert.assertEquals(queue.offer("next", "a", 20, LATER), AdmissionDecision.RUN);
		Assert.assertEquals(queue.running(), 1);
	}

}
