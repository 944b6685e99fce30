package io.lavenderroad.control.state;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Supplier;

import io.lavenderroad.control.state.Command.SetEvacuation;
import io.lavenderroad.core.Clock;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.Evacuations;
import io.vavr.control.Either;
import org.tinylog.Logger;

/**
 * Accepts orders to evacuate failure domains. Both orders are idempotent, so that an
 * operator without a clear answer resends them to any member.
 */
public final class EvacuationOrders {

	private final MeshStateMachine stateMachine;

	private final CommandLog log;

	private final ReadConfirmation confirmation;

	private final Clock clock;

	private final Acknowledgement acknowledgement;

	private final Supplier<Set<String>> configuredDomains;

	private final Supplier<List<Endpoint>> endpoints;

	private EvacuationOrders(Builder builder) {
		this.stateMachine = builder.stateMachine;
		this.log = builder.log;
		this.confirmation = builder.confirmation;
		this.clock = builder.clock;
		this.acknowledgement = builder.acknowledgement;
		this.configuredDomains = builder.configuredDomains;
		this.endpoints = builder.endpoints;
	}

	/**
	 * Creates a builder.
	 * @param stateMachine state machine of this member
	 * @return the builder
	 */
	public static Builder builder(MeshStateMachine stateMachine) {
		return new Builder(stateMachine);
	}

	/**
	 * Orders that the backend servers in a failure domain get no more requests. Blocks
	 * until the order is in force on the reachable nodes or the maximum wait of the
	 * acknowledgement has passed.
	 * @param failureDomain name of the failure domain
	 * @return the outcome of the state machine, empty if the failure domain is unknown,
	 * or the reason why there is no outcome
	 */
	public Either<ChangeRefusal, Optional<CommandOutcome>> begin(String failureDomain) {
		return order(failureDomain, true);
	}

	/**
	 * Withdraws the order for a failure domain. Blocks like {@link #begin(String)}.
	 * @param failureDomain name of the failure domain
	 * @return the outcome of the state machine, empty if the failure domain is unknown,
	 * or the reason why there is no outcome
	 */
	public Either<ChangeRefusal, Optional<CommandOutcome>> finish(String failureDomain) {
		return order(failureDomain, false);
	}

	/**
	 * Returns the evacuated failure domains.
	 * @return the number of endpoints that still accept work by failure domain, or the
	 * reason why the result might be stale
	 */
	public Either<ChangeRefusal, SortedMap<String, Integer>> evacuated() {
		return this.confirmation.confirm().mapLeft(ChangeRefusal::of).map((index) -> {
			SortedMap<String, Integer> counts = new TreeMap<>();
			evacuations().failureDomains().forEach((failureDomain) -> counts.put(failureDomain, 0));
			this.endpoints.get()
				.stream()
				.filter((endpoint) -> endpoint.state().acceptsWork())
				.forEach((endpoint) -> counts.computeIfPresent(endpoint.failureDomain(), (name, count) -> count + 1));
			return counts;
		});
	}

	private Either<ChangeRefusal, Optional<CommandOutcome>> order(String failureDomain, boolean evacuated) {
		if (!isKnown(failureDomain)) {
			// Another member may lead and know the domain. Only a confirmed leader says
			// that it is unknown.
			Either<ChangeRefusal, Long> confirmed = this.confirmation.confirm().mapLeft(ChangeRefusal::of);
			if (confirmed.isLeft()) {
				return Either.left(confirmed.getLeft());
			}
			if (!isKnown(failureDomain)) {
				Logger.info("control: Refused an evacuation order for an unknown failure domain.");
				return Either.right(Optional.empty());
			}
		}
		SetEvacuation command = new SetEvacuation(this.clock.millis(), failureDomain, evacuated);
		return this.log.propose(CommandBinding.toBytes(command))
			.mapLeft(ChangeRefusal::of)
			.map(CommandBinding::outcomeFromBytes)
			.peek((outcome) -> Logger.info("control: Order to {} the evacuation of {}: {}.",
					evacuated ? "begin" : "finish", failureDomain,
					outcome.applied() ? "in force as mesh version " + outcome.version() : outcome.reason()))
			.map(this.acknowledgement::awaitActive)
			.map(Optional::of);
	}

	private boolean isKnown(String failureDomain) {
		return this.configuredDomains.get().contains(failureDomain) || evacuations().contains(failureDomain)
				|| this.endpoints.get().stream().anyMatch((endpoint) -> endpoint.failureDomain().equals(failureDomain));
	}

	private Evacuations evacuations() {
		return this.stateMachine.configuration().evacuations();
	}

	/**
	 * Builder of the service.
	 */
	public static final class Builder {

		private final MeshStateMachine stateMachine;

		private CommandLog log;

		private ReadConfirmation confirmation;

		private Clock clock = Clock.system();

		private Acknowledgement acknowledgement = Acknowledgement.IMMEDIATE;

		private Supplier<Set<String>> configuredDomains = Set::of;

		private Supplier<List<Endpoint>> endpoints = List::of;

		private Builder(MeshStateMachine stateMachine) {
			this.stateMachine = stateMachine;
		}

		/**
		 * Sets the replicated log.
		 * @param commandLog proposes commands to the replicated log
		 * @param readConfirmation confirms that this member is the leader
		 * @return this builder
		 */
		public Builder log(CommandLog commandLog, ReadConfirmation readConfirmation) {
			this.log = commandLog;
			this.confirmation = readConfirmation;
			return this;
		}

		/**
		 * Sets the source of time.
		 * @param source source of time
		 * @return this builder
		 */
		public Builder clock(Clock source) {
			this.clock = source;
			return this;
		}

		/**
		 * Sets what delays the answer until the order is in force on the nodes.
		 * @param delay the acknowledgement
		 * @return this builder
		 */
		public Builder acknowledgement(Acknowledgement delay) {
			this.acknowledgement = delay;
			return this;
		}

		/**
		 * Sets the failure domains that are known from the settings of this member.
		 * @param domains supplies the names
		 * @return this builder
		 */
		public Builder configuredDomains(Supplier<Set<String>> domains) {
			this.configuredDomains = domains;
			return this;
		}

		/**
		 * Sets the registered endpoints.
		 * @param registered supplies the endpoints that have not expired
		 * @return this builder
		 */
		public Builder endpoints(Supplier<List<Endpoint>> registered) {
			this.endpoints = registered;
			return this;
		}

		/**
		 * Creates the service.
		 * @return the service
		 */
		public EvacuationOrders build() {
			return new EvacuationOrders(this);
		}

	}

}
