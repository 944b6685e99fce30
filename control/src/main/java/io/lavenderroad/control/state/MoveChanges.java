package io.lavenderroad.control.state;

import java.util.ArrayList;
import java.util.List;

import io.lavenderroad.model.MoveParameters;
import io.lavenderroad.model.MoveState;
import io.lavenderroad.model.MoveStatus;
import io.lavenderroad.model.ServiceConfiguration;

/**
 * Transitions of the state of a move.
 */
final class MoveChanges {

	/**
	 * Warnings kept for one move. The first ones are kept, since they say when trouble
	 * began.
	 */
	static final int MOST_WARNINGS = 20;

	private MoveChanges() {
	}

	static MoveState stepped(MoveState move, int shareBasisPoints, long atMillis, String reason) {
		MoveStatus status = (shareBasisPoints == ServiceConfiguration.WHOLE_SHARE) ? MoveStatus.WATCHING
				: MoveStatus.RAMPING;
		return new MoveState(move.service(), move.parameters(), move.startedMillis(), status, move.step() + 1,
				shareBasisPoints, atMillis, reason, "", "", 0, move.warnings());
	}

	static MoveState finished(MoveState move, MoveStatus status, long atMillis, String reason, String route,
			String figures) {
		int share = (status == MoveStatus.DONE) ? ServiceConfiguration.WHOLE_SHARE : 0;
		return new MoveState(move.service(), move.parameters(), move.startedMillis(), status, move.step() + 1, share,
				atMillis, reason, route, figures, atMillis, move.warnings());
	}

	static MoveState warned(MoveState move, String warning) {
		List<String> warnings = new ArrayList<>(move.warnings());
		warnings.add(warning);
		return new MoveState(move.service(), move.parameters(), move.startedMillis(), move.status(), move.step(),
				move.shareBasisPoints(), move.stepMillis(), move.reason(), move.route(), move.figures(),
				move.finishedMillis(), warnings);
	}

	static MoveState withParameters(MoveState move, MoveParameters parameters) {
		return new MoveState(move.service(), parameters, move.startedMillis(), move.status(), move.step(),
				move.shareBasisPoints(), move.stepMillis(), move.reason(), move.route(), move.figures(),
				move.finishedMillis(), move.warnings());
	}

}
