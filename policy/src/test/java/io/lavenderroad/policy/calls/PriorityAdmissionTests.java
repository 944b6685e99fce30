package io.lavenderroad.policy.calls;

import java.util.List;
import java.util.Optional;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against calls of high priority that wait or are refused because of calls of
 * lower priority, and against slots that stay free after the number of slots of a server
 * was raised.
 */
public class PriorityAdmissionTests {

	private static final long LATER = 10_000;

	@Test
	public void highestPriorityIsServedFirst() {
		AdmissionQueue<String> queue = new AdmissionQueue<>(1, 10, 10_000);
		queue.offer("running", "", 2, 0, LATER);
		queue.offer("browse", "", 2, 0, LATER);
		queue.offer("order", "", 0, 0, LATER);
		Assert.assertEquals(queue.release("", -1, 1), Optional.of("order"));
		Assert.assertEquals(queue.release("", -1, 2), Optional.of("browse"));
	}

	@Test
	public void fullQueueEvictsACallOfTheLowestPriority() {
		AdmissionQueue<String> queue = new AdmissionQueue<>(1, 2, 10_000);
		queue.offer("running", "", 2, 0, LATER);
		queue.offer("first", "", 2, 0, LATER);
		queue.offer("second", "", 2, 0, LATER);
		Assert.assertEquals(queue.offer("order", "", 0, 0, LATER), AdmissionDecision.FULL);
		Assert.assertEquals(queue.evictLowerPriority(0), Optional.of("second"));
		Assert.assertEquals(queue.offer("order", "", 0, 0, LATER), AdmissionDecision.WAIT);
		Assert.assertEquals(queue.evictLowerPriority(2), Optional.empty());
	}

	@Test
	public void expectedWaitIncludesOnlyCallsThatAreServedBefore() {
		AdmissionQueue<String> queue = new AdmissionQueue<>(1, 10, 10_000);
		queue.offer("first", "", 0, 0, LATER);
		queue.release("", 100, 100);
		queue.offer("running", "", 2, 100, LATER);
		queue.offer("browse 1", "", 2, 100, LATER);
		queue.offer("browse 2", "", 2, 100, LATER);
		Assert.assertEquals(queue.offer("browse 3", "", 2, 100, 400), AdmissionDecision.TOO_LATE);
		Assert.assertEquals(queue.offer("order", "", 0, 100, 400), AdmissionDecision.WAIT);
	}

	@Test
	public void callThatWouldMissItsLatencyObjectiveIsRefusedBeforeItsDeadline() {
		AdmissionQueue<String> queue = new AdmissionQueue<>(1, 10, 10_000);
		queue.offer("first", "", 0, 0, LATER);
		queue.release("", 100, 100);
		Assert.assertEquals(queue.offer("free slot", "", 0, 100, 100, LATER), AdmissionDecision.RUN);
		Assert.assertEquals(queue.offer("too late", "", 0, 100, 250, LATER), AdmissionDecision.TOO_LATE);
		Assert.assertEquals(queue.offer("in time", "", 0, 100, 300, LATER), AdmissionDecision.WAIT);
	}

	@Test
	public void waitingCallsStartWhenSlotsAreAdded() {
		AdmissionQueue<String> queue = new AdmissionQueue<>(1, 10, 10_000);
		queue.offer("running", "", 0, 0, LATER);
		queue.offer("one", "", 0, 0, LATER);
		queue.offer("two", "", 0, 0, LATER);
		queue.offer("three", "", 0, 0, LATER);
		Assert.assertEquals(queue.setSlots(3, 1), List.of("one", "two"));
		Assert.assertEquals(queue.running(), 3);
	}

}
