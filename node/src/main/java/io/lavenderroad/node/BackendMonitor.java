package io.lavenderroad.node;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import io.lavenderroad.core.Clock;
import io.lavenderroad.core.json.BoundedJson;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.EndpointState;
import io.lavenderroad.node.http.BackendResponse;
import io.lavenderroad.policy.calls.Pace;
import org.tinylog.Logger;

/**
 * Polls health and load of the local backend server once a second. The readings may be
 * late or wrong, so they are only hints for balancing; the end of the cold start is the
 * only decision that depends on them.
 */
final class BackendMonitor implements LocalBackend {

	private static final long TIMEOUT_MILLIS = 500;

	private static final int STATUS_REDIRECT = 300;

	/**
	 * How long a backend server counts as cold that does not state its remaining cold
	 * time: until it has been healthy for this long.
	 */
	private static final long COLD_MILLIS = 10_000;

	private final Clock clock;

	private final Endpoint self;

	private final BackendClient backend;

	private final String healthPath;

	private final String loadPath;

	private final Consumer<EndpointState> announcer;

	private volatile EndpointState state;

	private volatile Consumer<Pace.Cause> onSetback = (cause) -> {
	};

	private volatile long coldUntilMillis = Long.MIN_VALUE / 2;

	private volatile boolean coldUntilStated;

	private volatile boolean healthy = true;

	private volatile int reportedRunning;

	private long healthySinceMillis = -1;

	BackendMonitor(Clock clock, BackendClient backend, String healthPath, String loadPath, Endpoint self,
			Consumer<EndpointState> announcer) {
		this.self = self;
		this.clock = clock;
		this.backend = backend;
		this.healthPath = healthPath;
		this.loadPath = loadPath;
		this.state = self.state();
		this.announcer = announcer;
	}

	@Override
	public boolean serves(String service, String version) {
		return service.equals(this.self.service()) && version.equals(this.self.version());
	}

	@Override
	public String backendId() {
		return "";
	}

	@Override
	public void onSetback(Consumer<Pace.Cause> receiver) {
		this.onSetback = receiver;
	}

	@Override
	public boolean isCold() {
		return this.state == EndpointState.COLD || this.coldUntilStated || this.clock.millis() < this.coldUntilMillis;
	}

	@Override
	public void treatAsCold() {
		this.coldUntilStated = true;
	}

	@Override
	public void observeCold(long remainingMillis) {
		this.coldUntilMillis = Math.max(this.coldUntilMillis, this.clock.millis() + remainingMillis);
	}

	@Override
	public void unreachable() {
		// The next poll of the health page detects it.
	}

	/**
	 * Polls both pages. Called once a second on one thread.
	 */
	@Override
	public void poll() {
		Optional<BackendResponse> health = readHealth();
		health.ifPresent((answer) -> this.backend.coldMillis(answer).ifPresent(this::observeStatedCold));
		boolean reportsHealthy = this.healthPath.isEmpty()
				|| health.map((answer) -> answer.status() < STATUS_REDIRECT).orElse(false);
		observe(reportsHealthy, this.clock.millis());
		if (!this.loadPath.isEmpty()) {
			this.reportedRunning = readRunning();
		}
	}

	/**
	 * Announces the end of the cold start once the backend server has been healthy for
	 * long enough.
	 * @param newHealthy whether the backend server reports that it is healthy
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
		if (this.state == EndpointState.COLD && newHealthy && nowMillis - this.healthySinceMillis >= COLD_MILLIS
				&& nowMillis >= this.coldUntilMillis) {
			change(EndpointState.READY);
		}
	}

	@Override
	public void drain() {
		change(EndpointState.DRAINING);
	}

	@Override
	public EndpointState state() {
		return this.state;
	}

	@Override
	public boolean isHealthy() {
		return this.healthy;
	}

	/**
	 * Returns the number of running requests that the backend server reports.
	 * @return count, 0 if unknown
	 */
	@Override
	public int reportedRunning() {
		return this.reportedRunning;
	}

	private synchronized void change(EndpointState next) {
		if (this.state != EndpointState.DRAINING) {
			this.state = next;
			Logger.info("node: Announcing state {}.", next);
			this.announcer.accept(next);
		}
	}

	// A stated value replaces the earlier one; a server that states none keeps its state.
	private void observeStatedCold(long remainingMillis) {
		if (remainingMillis > 0 && this.clock.millis() >= this.coldUntilMillis) {
			this.onSetback.accept(Pace.Cause.COLD);
		}
		this.coldUntilMillis = this.clock.millis() + remainingMillis;
		this.coldUntilStated = this.coldUntilStated && remainingMillis > 0;
		if (remainingMillis > 0 && this.state == EndpointState.READY) {
			change(EndpointState.COLD);
			this.healthySinceMillis = -1;
		}
	}

	private Optional<BackendResponse> readHealth() {
		return this.healthPath.isEmpty() ? Optional.empty()
				: this.backend.get(this.healthPath, TIMEOUT_MILLIS).toJavaOptional();
	}

	private int readRunning() {
		return this.backend.get(this.loadPath, TIMEOUT_MILLIS).map(BackendMonitor::running).getOrElse(0);
	}

	private static int running(BackendResponse response) {
		try {
			return (BoundedJson.parse(response.body()) instanceof Map<?, ?> load
					&& load.get("running") instanceof Number running) ? Math.max(0, running.intValue()) : 0;
		}
		catch (IOException ex) {
			Logger.debug("node: Cannot parse the load page of the backend server: {}.", ex.getMessage());
			return 0;
		}
	}

}
