package io.lavenderroad.tool;

import java.net.ConnectException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against a long wait and a "null" message when no control member is running.
 */
public class ControlClientTests {

	private static final long TIME_LIMIT_MILLIS = 20_000;

	private final AtomicLong now = new AtomicLong();

	@Test
	public void unreachableAddressesAreReportedBeforeTheTimeLimit() {
		HttpTransport transport = (address, method, path, body) -> {
			throw new ConnectException();
		};
		ControlClient client = new ControlClient(transport, this.now::get, this.now::addAndGet,
				List.of("127.0.0.11:7480", "127.0.0.12:7480"), TIME_LIMIT_MILLIS);
		ControlClient.Result result = client.send("POST", "/v1/changes", Optional.of("{}"));
		Assert.assertTrue(result.answer().isEmpty());
		Assert.assertFalse(result.answerLost());
		Assert.assertTrue(this.now.get() <= ControlClient.UNREACHABLE_TIMEOUT_MILLIS + 1_000, "after " + this.now);
		Assert.assertTrue(result.lastFailure().startsWith("none of 127.0.0.11:7480, 127.0.0.12:7480 accepts"),
				result.lastFailure());
		Assert.assertFalse(result.lastFailure().contains("null"), result.lastFailure());
	}

}
