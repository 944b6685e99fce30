package io.lavenderroad.control.state;

import java.util.ArrayList;
import java.util.List;

import io.lavenderroad.model.MoveParameters;
import io.lavenderroad.model.MoveState;
import io.lavenderroad.model.MoveStatus;
import io.lavenderroad.model.ServiceConfiguration;

/**
 * State transitions of a move.
 */
final class MoveTransitions {

	/**
	 * Maximum number of warnings of a move. Later warnings are refused, since the first
	 * ones show when a problem began.
	 */
	static final int MAXIMUM_WARNINGS = 20;

	private MoveTransitions() {
	}

	static MoveState stepped(MoveState move, int shareBasisPoints, boolean rampComplete, long atMillis, String reason) {
		MoveStatus status = rampComplete ? MoveStatus.WATCHING : MoveStatus.RAMPING;
		return new MoveState(move.service(), move.parameters(), move.startedMillis(), status, move.step() + 1,
				shareBasisPoints, atMillis, reason, "", "", 0, move.warnings());
	}

	static MoveState finished(MoveState move, MoveStatus status, long atMillis, String reason, String route,
			String statistics) {
		int share = (status == MoveStatus.DONE) ? ServiceConfiguration.FULL_SHARE_BASIS_POINTS : 0;
		return new MoveState(move.service(), move.parameters(), move.startedMillis(), status, move.step() + 1, share,
				atMillis, reason, route, statistics, atMillis, move.warnings());
	}

	static MoveState warned(MoveState move, String warning) {
		List<String> warnings = new ArrayList<>(move.warnings());
		warnings.add(warning);
		return new MoveState(move.service(), move.parameters(), move.startedMillis(), move.status(), move.step(),
				move.shareBasisPoints(), move.stepMillis(), move.reason(), move.route(), move.statistics(),
				move.finishedMillis(), warnings);
	}

	static MoveState withParameters(MoveState move, MoveParameters parameters) {
		return new MoveState(move.service(), parameters, move.startedMillis(), move.status(), move.step(),
				move.shareBasisPoints(), move.stepMillis(), move.reason(), move.route(), move.statistics(),
				move.finishedMillis(), move.warnings());
	}

}
