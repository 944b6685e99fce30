package io.lavenderroad.bench.scenario;

import io.lavenderroad.core.Location;

/**
 * One step of a scenario.
 *
 * @param title what the step does, as written in the scenario
 * @param location position in the scenario file
 * @param action runs the step; throws {@link ScenarioFailure} if an expectation is not
 * met
 */
public record Step(String title, Location location, Action action) {

	/**
	 * Action of a step.
	 */
	@FunctionalInterface
	public interface Action {

		/**
		 * Runs the step.
		 * @param run the running deployment
		 */
		void run(ScenarioRun run);

	}

}
