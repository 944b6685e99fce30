package io.lavenderroad.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.lavenderroad.core.Clock;
import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.core.wire.CallFailure;
import io.lavenderroad.core.wire.Connection;
import io.lavenderroad.core.wire.ConnectionHandler;
import io.lavenderroad.core.wire.FrameServer;
import io.lavenderroad.core.wire.Hello;
import io.lavenderroad.core.wire.MessageCatalog;
import io.lavenderroad.core.wire.WireOptions;
import io.lavenderroad.model.Quota;
import io.lavenderroad.model.Team;
import io.lavenderroad.policy.quota.QuotaGrant;
import io.lavenderroad.policy.quota.QuotaLeases;
import io.lavenderroad.policy.quota.QuotaLedger;
import io.lavenderroad.policy.quota.QuotaRequest;
import io.lavenderroad.policy.quota.TeamDemand;
import io.lavenderroad.policy.quota.TeamGrant;
import io.vavr.control.Either;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against requests that wait forever for a token, against a node that does not
 * find the leader, and against work for teams without a quota.
 */
public class QuotaClientTests {

	private static final Team TEAM = new Team("orders", List.of(), 0, Optional.of(new Quota(0.001, 5)), 1);

	private static final String LEADER = "127.0.0.2:7400";

	/**
	 * Clock that stands still, so that no wait ends by time and no token expires.
	 */
	private final Clock clock = () -> 1_000_000;

	private QuotaLedger ledger;

	private final AtomicLong sent = new AtomicLong();

	private volatile boolean reachable;

	private QuotaClient client;

	@BeforeMethod
	public void start() {
		this.reachable = true;
		this.sent.set(0);
		this.ledger = new QuotaLedger(-100_000_000);
		this.client = new QuotaClient(this.clock, new QuotaLeases("node-1", this.clock.millis()),
				new LeaderSearch(this.clock, () -> List.of("127.0.0.1:7400", "127.0.0.3:7400"), this::send));
		this.client.start();
	}

	@AfterMethod
	public void stop() {
		this.client.close();
	}

	@Test
	public void teamWithoutQuotaIsAdmittedWithoutMessage() {
		Team unlimited = new Team("unlimited", List.of(), 0, Optional.empty(), 1);
		Assert.assertTrue(this.client.admit(unlimited, 0).isEmpty());
		Assert.assertEquals(this.sent.get(), 0);
	}

	// Repeated, because the order of the callers and the answers varies.
	@Test(invocationCount = 20)
	public void findsTheLeaderAndRefusesBeyondTheQuota() throws InterruptedException {
		CountDownLatch admitted = new CountDownLatch(5);
		CountDownLatch refused = new CountDownLatch(20);
		for (int request = 0; request < 25; request++) {
			Thread.ofVirtual().start(() -> {
				Optional<QuotaRefusal> refusal = this.client.admit(TEAM, Long.MAX_VALUE);
				refusal.filter((known) -> known.status() == HttpStatus.TOO_MANY_REQUESTS)
					.ifPresent((known) -> refused.countDown());
				if (refusal.isEmpty()) {
					admitted.countDown();
				}
			});
		}
		Assert.assertTrue(admitted.await(20, TimeUnit.SECONDS), admitted.getCount() + " missing");
		Assert.assertTrue(refused.await(20, TimeUnit.SECONDS), refused.getCount() + " missing");
	}

	@Test
	public void refusesWithoutHistoryIfNoLeaderIsReachable() {
		this.reachable = false;
		Optional<QuotaRefusal> refusal = this.client.admit(TEAM, Long.MAX_VALUE);
		Assert.assertEquals(refusal.map(QuotaRefusal::status), Optional.of(HttpStatus.UNAVAILABLE));
		Assert.assertTrue(refusal.get().retryAfterMillis() > 0);
	}

	@Test
	public void tokensArriveOverFrameConnection() throws IOException {
		ConnectionHandler leader = new ConnectionHandler() {
			@Override
			public void received(Connection connection, Object message) {
				throw new IllegalStateException("no message expected");
			}

			@Override
			public Object answer(Connection connection, Object request) {
				return grant((QuotaRequest) request);
			}
		};
		try (FrameServer server = FrameServer.start(new InetSocketAddress("127.0.0.1", 0), options("control-1"),
				leader); PeerConnections connections = new PeerConnections(options("node-1"), 5_000, leader)) {
			String address = "127.0.0.1:" + server.address().getPort();
			QuotaRequest request = new QuotaRequest("node-1", 1, 1, List.of(new TeamDemand("orders", 2, 0, 0, 0)));
			Either<CallFailure, QuotaGrant> answer = connections.quotaTransport().send(address, request, 20_000);
			Assert.assertEquals(answer.get().teams(), List.of(new TeamGrant("orders", 2, 0, 0)));
		}
	}

	private WireOptions options(String id) {
		return WireOptions.builder()
			.hello(new Hello("test", id, "node", 1, "127.0.0.1:1"))
			.catalog(MessageCatalog.builder().addAll(NodeMessages.types()).build())
			.clock(Clock.system())
			.build();
	}

	private QuotaGrant grant(QuotaRequest request) {
		return new QuotaGrant(true, Optional.empty(), this.ledger.grant(request, (team) -> TEAM.quota(), 0));
	}

	private Either<CallFailure, QuotaGrant> send(String address, QuotaRequest request, long timeoutMillis) {
		this.sent.incrementAndGet();
		if (!this.reachable) {
			return Either.left(new CallFailure(ExecutionVerdict.NOT_RUN, "connection refused"));
		}
		if (!address.equals(LEADER)) {
			return Either.right(QuotaGrant.notLeader(Optional.of(LEADER)));
		}
		return Either
			.right(new QuotaGrant(true, Optional.empty(), this.ledger.grant(request, (team) -> TEAM.quota(), 0)));
	}

}
