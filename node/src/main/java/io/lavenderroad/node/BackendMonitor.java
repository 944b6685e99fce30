package io.lavenderroad.node;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.Map;
import java.util.function.Consumer;

import com.fasterxml.jackson.jr.ob.JSON;
import io.lavenderroad.core.Clock;
import io.lavenderroad.model.EndpointState;
import io.lavenderroad.policy.calls.SlowStart;
import org.tinylog.Logger;

/**
 * Reads health and load of the backend server once a second. The readings may lag or
 * mislead, so they are hints for balancing only; the one decision that depends on them is
 * the end of the cold start.
 */
final class BackendMonitor {

	private static final long TIMEOUT_MILLIS = 500;

	private static final int STATUS_REDIRECT = 300;

	private final Clock clock;

	private final BackendClient backend;

	private final String healthPath;

	private final String loadPath;

	private final Consumer<EndpointState> announcer;

	private volatile EndpointState state;

	private volatile boolean healthy = true;

	private volatile int reportedRunning;

	private long healthySinceMillis = -1;

	BackendMonitor(Clock clock, BackendClient backend, String healthPath, String loadPath, EndpointState state,
			Consumer<EndpointState> announcer) {
		this.clock = clock;
		this.backend = backend;
		this.healthPath = healthPath;
		this.loadPath = loadPath;
		this.state = state;
		this.announcer = announcer;
	}

	/**
	 * Reads both pages. Called once a second on one thread.
	 */
	void poll() {
		observe(readHealth(), this.clock.millis());
		if (!this.loadPath.isEmpty()) {
			this.reportedRunning = readRunning();
		}
	}

	/**
	 * Announces the end of the cold start once the backend server has been healthy for
	 * the duration of the slow start.
	 * @param newHealthy whether the backend server says that it is healthy
	 * @param nowMillis clock reading in milliseconds
	 */
	void observe(boolean newHealthy, long nowMillis) {
		if (newHealthy != this.healthy) {
			Logger.info("node: Backend server reports {}.", newHealthy ? "healthy" : "unhealthy");
		}
		this.healthy = newHealthy;
		if (!newHealthy) {
			this.healthySinceMillis = -1;
		}
		else if (this.healthySinceMillis < 0) {
			this.healthySinceMillis = nowMillis;
		}
		if (this.state == EndpointState.COLD && newHealthy
				&& nowMillis - this.healthySinceMillis >= SlowStart.DURATION_MILLIS) {
			change(EndpointState.READY);
		}
	}

	/**
	 * Announces that the backend server is leaving.
	 */
	void drain() {
		change(EndpointState.DRAINING);
	}

	EndpointState state() {
		return this.state;
	}

	boolean isHealthy() {
		return this.healthy;
	}

	/**
	 * Returns the requests that the backend server says it runs.
	 * @return count, 0 if unknown
	 */
	int reportedRunning() {
		return this.reportedRunning;
	}

	private synchronized void change(EndpointState next) {
		if (this.state != EndpointState.DRAINING) {
			this.state = next;
			Logger.info("node: Announcing {}.", next);
			this.announcer.accept(next);
		}
	}

	private boolean readHealth() {
		if (this.healthPath.isEmpty()) {
			return true;
		}
		try {
			return this.backend.get(this.healthPath, TIMEOUT_MILLIS).statusCode() < STATUS_REDIRECT;
		}
		catch (IOException ex) {
			return false;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return this.healthy;
		}
	}

	private int readRunning() {
		try {
			HttpResponse<String> response = this.backend.get(this.loadPath, TIMEOUT_MILLIS);
			Map<String, Object> load = JSON.std.mapFrom(response.body());
			return (load.get("running") instanceof Number running) ? Math.max(0, running.intValue()) : 0;
		}
		catch (IOException ex) {
			return 0;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return 0;
		}
	}

}
