package io.lavenderroad.distribution;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;

import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.core.wire.CallFailure;
import io.lavenderroad.distribution.DistributionMessages.Report;
import io.lavenderroad.distribution.DistributionMessages.ReportAcknowledged;
import io.lavenderroad.model.Evidence;
import io.lavenderroad.model.LatencyHistogram;
import io.lavenderroad.model.ObservationKey;
import io.lavenderroad.model.Observations;
import io.vavr.control.Either;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against evidence that is counted twice or dropped needlessly, and against
 * answering a floor request with a floor that was requested before it arrived.
 */
public class EvidenceSenderTests {

	private static final ObservationKey KEY = new ObservationKey("a", "all", "v1");

	@Test
	public void unacknowledgedReportIsAddedOnceAtTheSameParent() {
		EvidenceSender sender = new EvidenceSender();
		ReportLedger ledger = new ReportLedger();
		sender.add(evidence(3));
		Report first = sender.nextReport("parent/1", SubtreeStatus.EMPTY, 0);
		Assert.assertTrue(ledger.recordIfNew("node", 1, first.sequence()));
		sender.handleResult(first, "parent/1", failure(ExecutionVerdict.MAY_HAVE_RUN));
		sender.add(evidence(4));
		Report again = sender.nextReport("parent/1", SubtreeStatus.EMPTY, 0);
		Assert.assertFalse(ledger.recordIfNew("node", 1, again.sequence()));
		sender.handleResult(again, "parent/1", Either.right(new ReportAcknowledged(again.sequence())));
		Report next = sender.nextReport("parent/1", SubtreeStatus.EMPTY, 0);
		Assert.assertTrue(ledger.recordIfNew("node", 1, next.sequence()));
		Assert.assertEquals(calls(next.evidence()), 4);
		Assert.assertEquals(sender.droppedReports(), 0);
	}

	@Test
	public void unacknowledgedReportIsNotSentToAnotherParent() {
		EvidenceSender sender = new EvidenceSender();
		sender.add(evidence(3));
		Report first = sender.nextReport("parent/1", SubtreeStatus.EMPTY, 0);
		sender.handleResult(first, "parent/1", failure(ExecutionVerdict.MAY_HAVE_RUN));
		sender.add(evidence(4));
		Report other = sender.nextReport("parent/2", SubtreeStatus.EMPTY, 0);
		Assert.assertEquals(calls(other.evidence()), 4);
		Assert.assertEquals(sender.droppedReports(), 1);
	}

	@Test
	public void reportThatWasNotAddedIsSentAgain() {
		EvidenceSender sender = new EvidenceSender();
		sender.add(evidence(3));
		sender.handleResult(sender.nextReport("parent/1", SubtreeStatus.EMPTY, 0), "parent/1",
				failure(ExecutionVerdict.NOT_RUN));
		Report second = sender.nextReport("parent/2", SubtreeStatus.EMPTY, 0);
		Assert.assertEquals(calls(second.evidence()), 3);
		sender.handleResult(second, "parent/2", Either.right(new ReportAcknowledged(0)));
		Assert.assertEquals(calls(sender.nextReport("parent/3", SubtreeStatus.EMPTY, 0).evidence()), 3);
	}

	@Test
	public void evidenceOfLongPartitionIsDropped() {
		EvidenceSender sender = new EvidenceSender();
		sender.add(evidence(3));
		sender.noReceiver(1_000);
		sender.noReceiver(6_000);
		Assert.assertEquals(sender.droppedReports(), 0);
		sender.noReceiver(6_001);
		Assert.assertEquals(sender.droppedReports(), 1);
		Assert.assertTrue(sender.nextReport("parent/1", SubtreeStatus.EMPTY, 7_000).evidence().isEmpty());
	}

	@Test
	public void sequenceNumbersRestartWithTheSender() {
		ReportLedger ledger = new ReportLedger();
		Assert.assertTrue(ledger.recordIfNew("node", 1, 7));
		Assert.assertTrue(ledger.recordIfNew("node", 2, 1));
		Assert.assertFalse(ledger.recordIfNew("node", 1, 8), "a late report of the old process");
	}

	@Test
	public void floorIsNeverOlderThanTheRequest() throws Exception {
		AtomicLong committed = new AtomicLong(1);
		AtomicLong rounds = new AtomicLong();
		CountDownLatch running = new CountDownLatch(1);
		CountDownLatch proceed = new CountDownLatch(1);
		FloorRequests requests = new FloorRequests(() -> {
			long version = committed.get();
			rounds.incrementAndGet();
			running.countDown();
			awaitLatch(proceed);
			return Optional.of(version);
		});
		Thread early = Thread.ofVirtual().start(() -> requests.request(60_000));
		running.await();
		committed.set(2);
		Queue<Optional<Long>> answers = new ConcurrentLinkedQueue<>();
		List<Thread> late = IntStream.range(0, 20)
			.mapToObj((index) -> Thread.ofVirtual().start(() -> answers.add(requests.request(60_000))))
			.toList();
		DistributionTests
			.await(() -> late.stream().allMatch((thread) -> thread.getState() == Thread.State.TIMED_WAITING));
		proceed.countDown();
		early.join();
		for (Thread thread : late) {
			thread.join();
		}
		Assert.assertEquals(List.copyOf(answers), Collections.nCopies(20, Optional.of(2L)));
		Assert.assertEquals(rounds.get(), 2, "20 late requests share one round");
	}

	private static void awaitLatch(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static Either<CallFailure, ReportAcknowledged> failure(ExecutionVerdict verdict) {
		return Either.left(new CallFailure(verdict, "connection closed"));
	}

	static Evidence evidence(long calls) {
		return Evidence.of(Map.of(KEY, new Observations(calls, 0, 0, LatencyHistogram.EMPTY)));
	}

	static long calls(Evidence evidence) {
		return evidence.of(KEY).calls();
	}

}
