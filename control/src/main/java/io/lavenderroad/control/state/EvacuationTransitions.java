package io.lavenderroad.control.state;

import java.util.List;

import io.lavenderroad.control.state.Command.SetEvacuation;
import io.lavenderroad.control.state.CommandOutcome.Kind;
import io.lavenderroad.model.ConfigurationEdit;
import io.lavenderroad.model.Evacuations;

/**
 * State transitions for evacuations of failure domains. The caller holds the lock of
 * {@link MeshStateMachine}.
 */
final class EvacuationTransitions {

	private static final String EVACUATION = "evacuation";

	private EvacuationTransitions() {
	}

	/**
	 * Applies an order. An order for what is in force already takes effect without a new
	 * version, so that a resent order gets the same answer.
	 * @param state the state to change
	 * @param order the order
	 * @return the outcome with the version in which the order is in force
	 */
	static CommandOutcome apply(MeshState state, SetEvacuation order) {
		Evacuations evacuations = state.configuration.evacuations();
		if (evacuations.contains(order.failureDomain()) != order.evacuated()) {
			state.replaceConfiguration(state.configuration.next(state.configuration.version() + 1,
					ConfigurationEdit.ofEvacuations(evacuations.with(order.failureDomain(), order.evacuated()))));
			state.record(
					new HistoryEntry(state.configuration.version(), order.atMillis(), EVACUATION, order.failureDomain(),
							"", List.of(order.evacuated() ? "evacuation began" : "evacuation finished")));
		}
		return new CommandOutcome(Kind.APPLIED, state.configuration.version(), "");
	}

}
