package io.lavenderroad.daemon;

import java.util.ArrayList;
import java.util.List;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against a node that keeps its backend server out of use while it only waits for
 * its callers to leave: a restart of all nodes one after the other took a third of the
 * capacity (incident inc-0021).
 */
public class NodeDepartureTests {

	@Test
	public void callsAreAdmittedUntilCallersHaveLeft() {
		List<String> order = new ArrayList<>();
		NodeDeparture.Steps steps = new NodeDeparture.Steps() {
			@Override
			public void sendCallersElsewhere() {
				order.add("not ready");
			}

			@Override
			public void admitNoMoreCalls() {
				order.add("drain");
			}

			@Override
			public void finishAndClose() {
				order.add("close");
			}
		};
		new NodeDeparture(steps, (millis) -> order.add("wait " + millis), 2_400).run();
		Assert.assertEquals(order, List.of("not ready", "wait 2400", "drain", "close"));
	}

}
