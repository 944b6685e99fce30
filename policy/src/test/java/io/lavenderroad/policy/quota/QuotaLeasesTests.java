package io.lavenderroad.policy.quota;

import java.util.Optional;

import io.lavenderroad.model.Quota;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards the node's side of quotas: the bound while no leader is reachable, expiry,
 * requests that wait for the leader although their team is far below its quota, and
 * tokens that are lost although their requests have not run.
 */
public class QuotaLeasesTests {

	private QuotaPlay play;

	private QuotaPlay.Node node;

	@BeforeMethod
	public void create() {
		this.play = new QuotaPlay(new Quota(10, 10), 2, QuotaLedger::new);
		this.play.now = 60_000;
		this.node = this.play.nodes[0];
	}

	@Test
	public void continuesWithoutLeaderAtItsEarlierRateForTenSeconds() {
		int before = attempts(5_000);
		this.node.leases.failed(this.node.clock());
		int lost = attempts(10_000);
		Assert.assertTrue(lost > before && lost <= 2 * before + 10, lost + " after " + before);
		Assert.assertTrue(this.play.largestWindow <= this.play.bound());
		this.play.now += 100;
		this.node.leases.failed(this.node.clock());
		Assert.assertEquals(this.node.leases.take(QuotaPlay.TEAM, this.node.clock()).kind(),
				QuotaAdmission.Kind.NO_LEADER);
	}

	@Test
	public void silentNodeThatContinuesAloneIsReservedForAtTheLeader() {
		attempts(5_000);
		this.node.leases.failed(this.node.clock());
		QuotaPlay.Node other = this.play.nodes[1];
		for (long end = this.play.now + 10_000; this.play.now < end; this.play.now += 20) {
			this.node.leases.failed(this.node.clock());
			if (this.node.leases.take(QuotaPlay.TEAM, this.node.clock()).kind() == QuotaAdmission.Kind.ADMITTED) {
				this.play.use();
			}
			other.attempt();
		}
		Assert.assertTrue(this.play.largestWindow <= this.play.bound(),
				this.play.largestWindow + " over " + this.play.bound());
	}

	@Test
	public void tokenOfRequestThatHasNotRunIsCreditedAfterItWasReported() {
		while (this.node.attempt() == QuotaAdmission.Kind.ADMITTED) {
			Assert.assertTrue(this.play.admitted.size() < 100);
		}
		this.play.now += 500;
		this.node.request();
		this.node.leases.giveBack(QuotaPlay.TEAM);
		this.play.now += 500;
		this.node.request();
		int admitted = 0;
		while (this.node.attempt() == QuotaAdmission.Kind.ADMITTED) {
			admitted++;
		}
		Assert.assertEquals(admitted, 11);
	}

	@Test
	public void waitingRequestGetsTokenInOneRequest() {
		Assert.assertEquals(this.node.attempt(), QuotaAdmission.Kind.ADMITTED);
		Assert.assertTrue(this.node.leases.next(this.node.clock()).isEmpty());
	}

	@Test
	public void oldFailureDoesNotRefuseTheFirstRequestOfAnIdleNode() {
		this.node.leases.failed(this.node.clock());
		Assert.assertEquals(this.node.attempt(), QuotaAdmission.Kind.NO_LEADER);
		this.play.now += 1_000;
		Assert.assertEquals(this.node.attempt(), QuotaAdmission.Kind.ADMITTED);
	}

	@Test
	public void requestIsAdmittedIfTheLeaderHasAlreadyRemovedTheQuota() {
		long clock = this.node.clock();
		this.node.leases.waiting(QuotaPlay.TEAM, 1);
		QuotaRequest request = this.node.leases.next(clock).orElseThrow();
		this.node.leases.granted(new QuotaGrant(true, Optional.empty(),
				this.play.ledger.grant(request, (team) -> Optional.empty(), this.play.now)), clock);
		Assert.assertEquals(this.node.leases.take(QuotaPlay.TEAM, clock).kind(), QuotaAdmission.Kind.ADMITTED);
	}

	@Test
	public void callerWithLessThanOneRequestASecondFindsTokensInAdvance() {
		this.node.attempt();
		for (int request = 1; request <= 10; request++) {
			long gapMillis = (request % 2 == 0) ? 1_250 : 1_700;
			for (long end = this.play.now + gapMillis; this.play.now < end; this.play.now += 50) {
				this.node.request();
			}
			Assert.assertEquals(this.node.leases.take(QuotaPlay.TEAM, this.node.clock()).kind(),
					QuotaAdmission.Kind.ADMITTED, "request " + request);
		}
	}

	private int attempts(long millis) {
		int admitted = 0;
		for (long end = this.play.now + millis; this.play.now < end; this.play.now += 125) {
			if (this.node.leases.isWithoutLeader()) {
				this.node.leases.failed(this.node.clock());
			}
			QuotaAdmission.Kind kind = this.node.leases.isWithoutLeader()
					? this.node.leases.take(QuotaPlay.TEAM, this.node.clock()).kind() : this.node.attempt();
			if (kind == QuotaAdmission.Kind.ADMITTED) {
				admitted++;
				if (this.node.leases.isWithoutLeader()) {
					this.play.use();
				}
			}
		}
		return admitted;
	}

}
