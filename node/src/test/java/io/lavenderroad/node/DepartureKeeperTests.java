package io.lavenderroad.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import io.lavenderroad.core.Clock;
import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.core.wire.CallFailure;
import io.lavenderroad.model.departure.Departure;
import io.lavenderroad.model.departure.DepartureAnswer;
import io.vavr.control.Either;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against a departure that is confirmed although no control member keeps it, and
 * against a node that gives up on departures because members fail at first.
 */
public class DepartureKeeperTests {

	private static final Departure DEPARTURE = new Departure("i-1", 10, Departure.Kind.DRAINING);

	private static final Departure EARLIER = new Departure("i-0", 5, Departure.Kind.DEREGISTERED);

	private static final long LONG_MILLIS = 60_000;

	@Test
	public void earlierDeparturesAreReadUntilAMemberAnswers() throws Exception {
		FakeStore store = new FakeStore(3);
		CompletableFuture<List<Departure>> known = new CompletableFuture<>();
		try (DepartureKeeper keeper = keeper(store, known)) {
			Assert.assertEquals(known.get(LONG_MILLIS, TimeUnit.MILLISECONDS), List.of(EARLIER));
			Assert.assertTrue(keeper.keep(EARLIER, 0), "an earlier process kept it");
			Assert.assertEquals(store.kept, List.of());
		}
	}

	@Test
	public void departureIsKeptInSpiteOfFailures() {
		FakeStore store = new FakeStore(2);
		try (DepartureKeeper keeper = keeper(store, new CompletableFuture<>())) {
			Assert.assertTrue(keeper.keep(DEPARTURE, LONG_MILLIS));
			Assert.assertEquals(store.kept, List.of(DEPARTURE));
			Assert.assertTrue(keeper.keep(DEPARTURE, 0), "confirmed once more without the store");
			Assert.assertEquals(store.kept, List.of(DEPARTURE));
		}
	}

	@Test
	public void departureThatNoMemberKeepsIsNotConfirmed() {
		FakeStore store = new FakeStore(Integer.MAX_VALUE);
		try (DepartureKeeper keeper = keeper(store, new CompletableFuture<>())) {
			Assert.assertFalse(keeper.keep(DEPARTURE, 20));
			store.failures = 0;
			Assert.assertTrue(keeper.keep(DEPARTURE, LONG_MILLIS));
		}
	}

	@Test
	public void membersAreAskedInTurnUntilOneConfirms() {
		List<String> asked = new ArrayList<>();
		ControlGroupDepartures store = new ControlGroupDepartures("node-1", () -> List.of("dead", "no-leader", "good"),
				0, (address, request, timeoutMillis) -> {
					asked.add(address);
					return switch (address) {
						case "dead" -> Either.left(new CallFailure(ExecutionVerdict.MAY_HAVE_RUN, "no answer"));
						case "no-leader" -> Either.right(DepartureAnswer.UNCONFIRMED);
						default -> Either.right(new DepartureAnswer(true, List.of(EARLIER)));
					};
				});
		Assert.assertEquals(store.read(), Optional.of(List.of(EARLIER)));
		Assert.assertTrue(store.keep(DEPARTURE));
		Assert.assertEquals(asked, List.of("dead", "no-leader", "good", "good"));
	}

	@Test
	public void departureIsNotKeptIfNoMemberConfirms() {
		ControlGroupDepartures store = new ControlGroupDepartures("node-1", () -> List.of("first", "second"), -7,
				(address, request, timeoutMillis) -> Either.right(DepartureAnswer.UNCONFIRMED));
		Assert.assertFalse(store.keep(DEPARTURE));
		Assert.assertTrue(store.read().isEmpty());
	}

	private static DepartureKeeper keeper(FakeStore store, CompletableFuture<List<Departure>> known) {
		DepartureKeeper keeper = new DepartureKeeper(Clock.system(), new Random(1), store, known::complete);
		keeper.start();
		return keeper;
	}

	/**
	 * Fails the first calls, by turns with an exception and without a confirmation.
	 */
	private static final class FakeStore implements DepartureStore {

		private final List<Departure> kept = new CopyOnWriteArrayList<>();

		private volatile int failures;

		private FakeStore(int failures) {
			this.failures = failures;
		}

		@Override
		public Optional<List<Departure>> read() {
			return fails() ? Optional.empty() : Optional.of(List.of(EARLIER));
		}

		@Override
		public boolean keep(Departure departure) {
			return !fails() && this.kept.add(departure);
		}

		private boolean fails() {
			int remaining = this.failures;
			this.failures = Math.max(0, remaining - 1);
			if (remaining % 2 == 1) {
				throw new IllegalStateException("store fails");
			}
			return remaining > 0;
		}

	}

}
