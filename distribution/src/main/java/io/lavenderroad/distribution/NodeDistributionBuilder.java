package io.lavenderroad.distribution;

import java.nio.file.Path;
import java.util.List;
import java.util.function.Function;
import java.util.function.UnaryOperator;

import io.lavenderroad.core.wire.ConnectionHandler;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.MeshConfiguration;

/**
 * Builds {@link NodeDistribution}.
 */
public final class NodeDistributionBuilder extends DistributionBuilder<NodeDistributionBuilder> {

	List<String> seeds = List.of();

	Endpoint endpoint;

	Path dataFolder;

	Function<MeshConfiguration, List<String>> validator = MeshConfiguration::missingResources;

	long drainMillis = 5_000;

	UnaryOperator<ConnectionHandler> outgoing = UnaryOperator.identity();

	NodeDistributionBuilder() {
		super(TreeTimes.RELAY_ATTACHES_PER_SECOND);
	}

	@Override
	NodeDistributionBuilder self() {
		return this;
	}

	/**
	 * Sets the addresses to try first.
	 * @param seeds {@code ip:port} of control members, or of any node
	 * @return this builder
	 */
	public NodeDistributionBuilder seeds(List<String> seeds) {
		this.seeds = List.copyOf(seeds);
		return this;
	}

	/**
	 * Sets the first announcement of the local backend server. Its id, region, failure
	 * domain and frame address are those of this node, its incarnation is the start time
	 * of the process.
	 * @param endpoint the announcement
	 * @return this builder
	 */
	public NodeDistributionBuilder endpoint(Endpoint endpoint) {
		this.endpoint = endpoint;
		return this;
	}

	/**
	 * Sets the folder in which the last active version is stored.
	 * @param dataFolder the folder, or null to store nothing
	 * @return this builder
	 */
	public NodeDistributionBuilder dataFolder(Path dataFolder) {
		this.dataFolder = dataFolder;
		return this;
	}

	/**
	 * Sets the check of each version before it becomes active. The default is
	 * {@link MeshConfiguration#missingResources()}.
	 * @param validator returns the problems of a version, empty if it is valid
	 * @return this builder
	 */
	public NodeDistributionBuilder validator(Function<MeshConfiguration, List<String>> validator) {
		this.validator = validator;
		return this;
	}

	/**
	 * Sets the maximum time that {@link NodeDistribution#close()} waits for children to
	 * leave.
	 * @param millis the time in milliseconds
	 * @return this builder
	 */
	public NodeDistributionBuilder drainMillis(long millis) {
		this.drainMillis = millis;
		return this;
	}

	/**
	 * Wraps the handler of outgoing connections, so that a test can hold messages back.
	 * @param outgoing wraps the handler
	 * @return this builder
	 */
	NodeDistributionBuilder outgoing(UnaryOperator<ConnectionHandler> outgoing) {
		this.outgoing = outgoing;
		return this;
	}

	/**
	 * Creates the distribution, which is inactive until it is started.
	 * @return the distribution
	 */
	public NodeDistribution build() {
		return new NodeDistribution(this);
	}

}
