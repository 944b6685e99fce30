package io.lavenderroad.daemon;

import java.util.function.Supplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.lavenderroad.control.raft.MemberRole;
import io.lavenderroad.control.raft.MemberStatus;
import io.lavenderroad.control.state.MeshStateMachine;
import io.lavenderroad.core.metrics.MetricsText;
import io.lavenderroad.distribution.ConvergenceStatus;

/**
 * Metrics of a control member.
 */
final class ControlMetrics {

	private static final String PREFIX = "lavenderroad_control_";

	private final MetricRegistry registry = new MetricRegistry();

	private final Supplier<String> quotas;

	ControlMetrics(Supplier<MemberStatus> member, MeshStateMachine mesh, Supplier<ConvergenceStatus> distribution,
			Supplier<String> quotas) {
		this.quotas = quotas;
		gauge("leader", () -> (member.get().role() == MemberRole.LEADER) ? 1 : 0);
		gauge("term", () -> member.get().term());
		gauge("commit_index", () -> member.get().commitIndex());
		gauge("applied_index", () -> member.get().appliedIndex());
		gauge("last_index", () -> member.get().lastIndex());
		gauge("snapshot_index", () -> member.get().snapshotIndex());
		gauge("stopped", () -> member.get().failure().isPresent() ? 1 : 0);
		gauge("configuration_version", () -> mesh.configuration().version());
		gauge("services", () -> mesh.configuration().services().size());
		gauge("active_moves", () -> mesh.activeMoves().size());
		gauge("remembered_changes", mesh::outcomeCount);
		gauge("vms_with_departures", mesh::vmsWithDepartures);
		gauge("nodes", () -> distribution.get().nodes());
		gauge("nodes_current", () -> currentNodes(distribution.get()));
		gauge("rejected_versions", () -> distribution.get().rejected().size());
		gauge("unreachable_nodes", () -> distribution.get().unreachableCount());
		gauge("tree_depth", () -> distribution.get().depth());
		gauge("bytes_sent", () -> distribution.get().bytesSent());
		gauge("bytes_received", () -> distribution.get().bytesReceived());
	}

	/**
	 * Returns all metrics.
	 * @return the Prometheus text format
	 */
	String text() {
		return MetricsText.of(this.registry) + this.quotas.get();
	}

	private static int currentNodes(ConvergenceStatus status) {
		return status.versions().tailMap(status.version()).values().stream().mapToInt(Integer::intValue).sum();
	}

	private void gauge(String name, Gauge<? extends Number> gauge) {
		this.registry.registerGauge(PREFIX + name, gauge);
	}

}
