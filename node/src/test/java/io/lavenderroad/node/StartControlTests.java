package io.lavenderroad.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.lavenderroad.core.Clock;
import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.model.CallerLimits;
import io.lavenderroad.model.ColdStart;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.EndpointState;
import io.lavenderroad.model.Evacuations;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.MeshView;
import io.lavenderroad.model.RouteSet;
import io.lavenderroad.model.ServiceConfiguration;
import io.lavenderroad.model.ServiceLimits;
import io.lavenderroad.model.TeamSet;
import io.lavenderroad.node.http.Cancellation;
import io.lavenderroad.policy.calls.Pace;
import io.vavr.control.Either;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against requests at servers of an evacuated failure domain, from the queue or
 * from senders without the order, and against servers that crash because they get their
 * full rate when the evacuation ends.
 */
public class StartControlTests {

	private static final Endpoint SELF = endpoint("node-1", "germiston");

	private final Random random = new Random(1);

	private long nowMillis;

	private View view;

	private BackendRegistration registration;

	private Admission admission;

	private StartControl control;

	@BeforeMethod
	void start() {
		this.nowMillis = 50_000;
		this.view = new View();
		this.registration = new BackendRegistration(() -> this.nowMillis, () -> this.nowMillis, "catalogue", 6_000,
				(change) -> change.apply(SELF));
		this.admission = new Admission(Clock.system(), this.random, 1, true);
		this.control = new StartControl(() -> this.nowMillis, this.random, this.view, SELF, this.registration,
				this.admission::refuseWaiting, true);
	}

	@Test
	public void nothingStartsWithoutAConfiguration() {
		announce(1, 0);
		Assert.assertEquals(this.control.start().get().reason(), StartControl.NOT_CONFIGURED);
		this.view.configure(2.5);
		Assert.assertTrue(this.control.start().isEmpty());
	}

	@Test
	public void evacuationReturnsWaitingCallsAndRefusesNewOnes() throws Exception {
		announce(1, 0);
		this.view.configure(0);
		Admission.Slot held = acquire().get();
		CompletableFuture<Either<CallAnswer, Admission.Slot>> waiting = CompletableFuture.supplyAsync(this::acquire);
		while (this.admission.load() < 2) {
			Thread.sleep(1);
		}
		this.view.configure(0, "germiston");
		CallAnswer returned = waiting.get(30, TimeUnit.SECONDS).getLeft();
		Assert.assertEquals(returned.verdict(), ExecutionVerdict.NOT_RUN);
		Assert.assertEquals(returned.avoidance(), Avoidance.ofAllCalls(3_000));
		Assert.assertEquals(returned.reason(), "failure domain germiston is evacuated");
		Assert.assertEquals(this.control.start().get().verdict(), ExecutionVerdict.NOT_RUN);
		held.release(-1);
		this.view.configure(0, "midrand");
		Assert.assertTrue(this.control.start().isEmpty());
	}

	@Test
	public void endOfAnEvacuationLimitsTheRateUntilALaterAnnouncement() {
		announce(1, 0);
		this.view.configure(2.5);
		Assert.assertEquals(startsIn(500), 100);
		this.view.configure(2.5, "germiston");
		this.nowMillis += 10_000;
		Assert.assertEquals(startsIn(500), 0);
		this.view.configure(2.5);
		Assert.assertTrue(this.registration.isCold());
		Assert.assertEquals(startsIn(1_000), 2);
		CallAnswer refused = this.control.start().get();
		Assert.assertEquals(refused.reason(), StartControl.COLD);
		Assert.assertEquals(refused.avoidance().scope(), Avoidance.Scope.ALL_CALLS);
		announce(2, 3_000);
		Assert.assertEquals(startsIn(1_000), 2);
		announce(3, 0);
		Assert.assertEquals(startsIn(500), 100);
	}

	@Test
	public void recoveringServerRunsFewCallsAtOnceAndTheOthersGoElsewhere() {
		announce(1, 0);
		this.view.configure(0);
		Assert.assertEquals(this.control.pace(50), 1.0);
		this.control.restrict(Pace.Cause.RETURNED);
		Assert.assertTrue(this.control.start().isEmpty());
		CallAnswer refused = this.control.refusal().get();
		Assert.assertEquals(refused.verdict(), ExecutionVerdict.NOT_RUN);
		Assert.assertTrue(refused.avoidance().millis() < 20, refused.avoidance().toString());
		Assert.assertEquals(this.control.pace(50), 1.0 / 12);
		this.control.ended("look", this.nowMillis, Pace.Outcome.ANSWERED, 5);
		Assert.assertEquals(startsIn(60), 12);
		Assert.assertEquals(this.control.pace(50), 1.0);
	}

	@Test
	public void serviceWithoutARateIsNotLimited() {
		announce(1, 30_000);
		this.view.configure(0);
		Assert.assertEquals(startsIn(500), 100);
	}

	@Test
	public void sendersLeaveOutEvacuatedEndpoints() {
		this.view.endpoints = List.of(SELF, endpoint("node-2", "midrand"));
		EndpointDirectory directory = new EndpointDirectory(this.view, () -> this.nowMillis);
		this.view.configure(0);
		Assert.assertEquals(directory.candidates("catalogue", "v1").size(), 2);
		this.view.configure(0, "germiston");
		Assert.assertEquals(directory.candidates("catalogue", "v1").getFirst().endpoint().nodeId(), "node-2");
		this.view.configure(0, "germiston", "midrand");
		Assert.assertTrue(directory.candidates("catalogue", "v1").isEmpty());
		Assert.assertEquals(directory.evacuatedDomains("catalogue"), Set.of("germiston", "midrand"));
		this.view.configure(0);
		Assert.assertEquals(directory.candidates("catalogue", "v1").size(), 2);
	}

	// One attempt each 5 ms.
	private int startsIn(long millis) {
		int starts = 0;
		for (long end = this.nowMillis + millis; this.nowMillis < end; this.nowMillis += 5) {
			if (this.control.start().isEmpty()) {
				starts++;
				this.control.ended("look", this.nowMillis, Pace.Outcome.ANSWERED, 5);
			}
		}
		return starts;
	}

	private void announce(long sequence, long coldMillis) {
		this.registration
			.announce(new BackendAnnouncement("i-1", 10, sequence, "catalogue", "v1", 12, false, coldMillis));
	}

	private Either<CallAnswer, Admission.Slot> acquire() {
		return this.admission.acquire("shop", Clock.system().millis() + 60_000, ServiceLimits.DEFAULT,
				new Cancellation());
	}

	private static Endpoint endpoint(String nodeId, String failureDomain) {
		return new Endpoint(nodeId, 1, 1, EndpointState.READY, "catalogue", "v1", "gauteng", failureDomain,
				"127.0.0.1:1", 12, 100, "");
	}

	private static final class View implements MeshView {

		private final List<Runnable> listeners = new ArrayList<>();

		private List<Endpoint> endpoints = List.of();

		private MeshConfiguration configuration;

		private void configure(double coldPerSecond, String... evacuated) {
			ServiceConfiguration service = ServiceConfiguration.builder("catalogue")
				.coldStart(new ColdStart(5_000, coldPerSecond))
				.build();
			this.configuration = MeshConfiguration.of(1, List.of(service), RouteSet.EMPTY, CallerLimits.DEFAULT,
					TeamSet.EMPTY, new Evacuations(new TreeSet<>(List.of(evacuated)), 1));
			this.listeners.forEach(Runnable::run);
		}

		@Override
		public Optional<MeshConfiguration> configuration() {
			return Optional.ofNullable(this.configuration);
		}

		@Override
		public List<Endpoint> endpoints(String service) {
			return this.endpoints;
		}

		@Override
		public void onChange(Runnable listener) {
			this.listeners.add(listener);
		}

	}

}
