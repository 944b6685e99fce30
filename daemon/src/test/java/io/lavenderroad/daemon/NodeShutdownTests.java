package io.lavenderroad.daemon;

import java.util.ArrayList;
import java.util.List;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against a node that refuses calls to its backend server while it only waits for
 * callers to switch to other nodes: a rolling restart of all nodes took a third of the
 * capacity (incident inc-0021).
 */
public class NodeShutdownTests {

	@Test
	public void callsAreAdmittedUntilCallersHaveSwitched() {
		List<String> order = new ArrayList<>();
		NodeShutdown.Steps steps = new NodeShutdown.Steps() {
			@Override
			public void reportNotReady() {
				order.add("not ready");
			}

			@Override
			public void refuseNewCalls() {
				order.add("drain");
			}

			@Override
			public void drainAndClose() {
				order.add("close");
			}
		};
		new NodeShutdown(steps, (millis) -> order.add("wait " + millis), 2_400).run();
		Assert.assertEquals(order, List.of("not ready", "wait 2400", "drain", "close"));
	}

}
