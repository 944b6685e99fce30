package io.lavenderroad.bench.scenario;

import io.lavenderroad.core.LavenderroadException;

/**
 * Reports that an expectation of a scenario was not met.
 */
public class ScenarioFailure extends LavenderroadException {

	private static final long serialVersionUID = 1L;

	public ScenarioFailure(String message) {
		super(message);
	}

}
