package io.lavenderroad.policy.moves;

import io.lavenderroad.core.kernel.Kernel;
import io.lavenderroad.core.kernel.Plugin;
import io.lavenderroad.model.MoveParameters;

/**
 * Registers the default move policy and the baseline policies for comparisons.
 */
public final class MovePolicyPlugin implements Plugin {

	@Override
	public void register(Kernel kernel) {
		kernel.register(MovePolicy.EXTENSION_POINT, MoveParameters.DEFAULT_POLICY, new SequentialMovePolicy());
		kernel.register(MovePolicy.EXTENSION_POINT, "linear", new LinearMovePolicy());
		kernel.register(MovePolicy.EXTENSION_POINT, "threshold", new ThresholdMovePolicy());
	}

}
