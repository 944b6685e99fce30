package io.lavenderroad.node;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.core.wire.CallFailure;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.EndpointState;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.MeshView;
import io.vavr.control.Either;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a second run of a request with an idempotency key when it is resent
 * through another node, after the loss, the start or the drain of a node, or when memory
 * is short.
 */
public class KeyLedgerTests {

	private static final long MEMORY_BYTES = 1024 * 1024;

	private static final int ANSWER_BYTES = 1024;

	private final Map<String, Endpoint> endpoints = new TreeMap<>();

	private final Map<String, KeyLedger> ledgers = new TreeMap<>();

	private final Set<String> unreachable = new TreeSet<>();

	private long nowMillis;

	@BeforeMethod
	void reset() {
		this.endpoints.clear();
		this.ledgers.clear();
		this.unreachable.clear();
		this.nowMillis = 1_000_000;
	}

	@Test
	public void resendThroughAnyNodeIsAnsweredFromTheFirstRun() {
		startMembers(5);
		run("node-0", "k", "first").settle(CallAnswer.ran(201, List.of("A", "b"), new byte[] { 7 }));
		for (String node : this.ledgers.keySet()) {
			CallAnswer answer = claim(node, "k", "first").getLeft();
			Assert.assertEquals(answer.status(), 201);
			Assert.assertEquals(answer.body(), new byte[] { 7 });
			Assert.assertEquals(answer.verdict(), ExecutionVerdict.RAN);
		}
		Assert.assertEquals(claim("node-1", "k", "other content").getLeft().status(), 409);
	}

	@Test
	public void resendWhileTheFirstRunsOrWithUnknownResultIsRefused() {
		startMembers(5);
		KeyLedger.Claim first = run("node-0", "k", "first");
		Assert.assertEquals(claim("node-3", "k", "first").getLeft().status(), 409);
		first.settle(CallAnswer.mayHaveRun(502, "broken"));
		CallAnswer answer = claim("node-4", "k", "first").getLeft();
		Assert.assertEquals(answer.status(), 409);
		Assert.assertEquals(answer.verdict(), ExecutionVerdict.MAY_HAVE_RUN);
	}

	@Test
	public void keyIsFreeAgainAfterProvenNotRun() {
		startMembers(5);
		run("node-0", "k", "first").settle(CallAnswer.notRun(503, "full"));
		run("node-1", "k", "first");
	}

	@Test
	public void claimOfALostNodeHasAnUnknownResultAndNeverRunsAgain() {
		startMembers(5);
		run("node-0", "k", "first");
		lose("node-0");
		maintainAll();
		for (String node : this.ledgers.keySet()) {
			Assert.assertEquals(claim(node, "k", "first").getLeft().status(), 409);
		}
	}

	@Test
	public void consecutiveNodeLossesKeepEveryRecord() {
		startMembers(7);
		runCalls(200);
		for (int lost = 0; lost < 5; lost++) {
			lose("node-" + lost);
			assertNoSecondRun(200);
			maintainAll();
		}
		assertNoSecondRun(200);
	}

	@Test
	public void unreachableHoldersThatMayHaveARecordPreventTheRun() {
		startMembers(5);
		runCalls(50);
		for (String first : List.copyOf(this.ledgers.keySet())) {
			for (String second : List.copyOf(this.ledgers.keySet())) {
				this.unreachable.clear();
				this.unreachable.addAll(List.of(first, second));
				assertNoSecondRun(50);
			}
		}
	}

	@Test
	public void joiningNodesDoNotHideOlderRecords() {
		startMembers(3);
		runCalls(200);
		for (int joined = 3; joined < 12; joined++) {
			start("node-" + joined);
		}
		assertNoSecondRun(200);
		this.nowMillis += KeyLedger.JOIN_MILLIS;
		maintainAll();
		assertNoSecondRun(200);
		Assert.assertTrue(this.ledgers.values().stream().allMatch(KeyLedger::isActiveHolder));
	}

	@Test
	public void drainedNodesTransferTheirRecords() {
		startMembers(4);
		runCalls(200);
		for (String node : List.of("node-0", "node-1", "node-2")) {
			this.ledgers.get(node).leave();
			this.endpoints.put(node, this.endpoints.get(node).withState(EndpointState.DRAINING));
			assertNoSecondRun(200);
			Assert.assertTrue(this.ledgers.get(node).transferRecords());
			lose(node);
			assertNoSecondRun(200);
			maintainAll();
		}
	}

	@Test
	public void fullLedgerRefusesClaimsAndDropsNoKey() {
		KeyStore store = new KeyStore(100 * KeyRecord.FIXED_BYTES, ANSWER_BYTES);
		Random random = new Random(7);
		List<KeyClaim> granted = new ArrayList<>();
		for (int index = 0; index < 300; index++) {
			KeyClaim claim = new KeyClaim(new KeyDigest(random.nextLong(), index), KeyDigest.LOWEST, "node", 1, index);
			if (store.claim(claim, this.nowMillis).filter(claim::owns).isPresent()) {
				granted.add(claim);
				store.settle(claim, CallAnswer.ran(200, List.of(), new byte[500]), this.nowMillis);
			}
			Assert.assertTrue(store.bytes() <= 100 * KeyRecord.FIXED_BYTES, "over the limit: " + store.bytes());
		}
		Assert.assertEquals(granted.size(), 100);
		granted.forEach((claim) -> Assert.assertTrue(store.find(claim.key()).isPresent()));
		store.expire(this.nowMillis + KeyStore.MAXIMUM_AGE_MILLIS);
		Assert.assertEquals(store.size(), 0);
		Assert.assertEquals(store.bytes(), 0);
	}

	private void startMembers(int count) {
		for (int index = 0; index < count; index++) {
			start("node-" + index);
		}
		this.nowMillis += KeyLedger.JOIN_MILLIS;
		maintainAll();
		Assert.assertTrue(this.ledgers.values().stream().allMatch(KeyLedger::isActiveHolder));
	}

	private void start(String node) {
		Endpoint self = new Endpoint(node, this.nowMillis, 1, EndpointState.READY, "orders", "v1", "r", "d", node, 1, 1,
				"");
		this.endpoints.put(node, self);
		this.ledgers.put(node, new KeyLedger(() -> this.nowMillis, new View(), self,
				new KeyStore(MEMORY_BYTES, ANSWER_BYTES), new Transport(), KeyLedger.COPIES));
	}

	private void lose(String node) {
		this.endpoints.remove(node);
		this.ledgers.remove(node);
	}

	private void maintainAll() {
		this.ledgers.values().forEach(KeyLedger::maintain);
	}

	private void runCalls(int count) {
		List<String> nodes = List.copyOf(this.ledgers.keySet());
		for (int key = 0; key < count; key++) {
			run(nodes.get(key % nodes.size()), "key " + key, "content")
				.settle(CallAnswer.ran(200, List.of(), new byte[1]));
		}
	}

	private void assertNoSecondRun(int count) {
		List<String> nodes = List.copyOf(this.ledgers.keySet());
		for (int key = 0; key < count; key++) {
			String node = nodes.get((key * 7 + 3) % nodes.size());
			if (!this.unreachable.contains(node)) {
				Assert.assertTrue(claim(node, "key " + key, "content").isLeft(), "key " + key + " ran again");
			}
		}
	}

	private KeyLedger.Claim run(String node, String key, String content) {
		return claim(node, key, content).get();
	}

	private Either<CallAnswer, KeyLedger.Claim> claim(String node, String key, String content) {
		CallRequest request = new CallRequest(1, "orders", "v1", "orders", "POST", "/orders", List.of(),
				content.getBytes(StandardCharsets.UTF_8), "shop", key, 1_000, 0, CallMetadata.NONE);
		return this.ledgers.get(node).claim(request, this.nowMillis + 1_000);
	}

	private final class View implements MeshView {

		@Override
		public Optional<MeshConfiguration> configuration() {
			return Optional.empty();
		}

		@Override
		public List<Endpoint> endpoints(String service) {
			return List.copyOf(KeyLedgerTests.this.endpoints.values());
		}

		@Override
		public void onChange(Runnable listener) {
		}

	}

	private final class Transport implements KeyTransport {

		@Override
		public <T> Either<CallFailure, T> call(Endpoint holder, Object request, long timeoutMillis,
				Class<T> answerType) {
			KeyLedger ledger = KeyLedgerTests.this.ledgers.get(holder.nodeId());
			if (ledger == null || KeyLedgerTests.this.unreachable.contains(holder.nodeId())) {
				return Either.left(new CallFailure(ExecutionVerdict.NOT_RUN, "unreachable"));
			}
			return Either.right(answerType.cast(ledger.answer(request).orElseThrow()));
		}

	}

}
