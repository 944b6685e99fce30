package io.lavenderroad.node;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import io.lavenderroad.core.wire.CallFailure;
import io.lavenderroad.model.departure.Departure;
import io.lavenderroad.model.departure.DepartureAnswer;
import io.lavenderroad.model.departure.DepartureRequest;
import io.vavr.control.Either;
import org.tinylog.Logger;

/**
 * Store of departures in the control group. Any member passes requests on to the leader,
 * so the member that answered last is asked first. Used by one thread.
 */
final class ControlGroupDepartures implements DepartureStore {

	/**
	 * Maximum time for one member: many times a commit, and short enough to ask two
	 * members while a backend server waits.
	 */
	private static final long ATTEMPT_TIMEOUT_MILLIS = 350;

	private final String nodeId;

	private final Supplier<List<String>> members;

	private final Transport transport;

	private int position;

	/**
	 * Creates a store.
	 * @param nodeId id of this node
	 * @param members supplies {@code ip:port} of the known control members
	 * @param firstMember position of the member to ask first, any number; nodes that
	 * start together use different ones
	 * @param transport sends requests to them
	 */
	ControlGroupDepartures(String nodeId, Supplier<List<String>> members, int firstMember, Transport transport) {
		this.nodeId = nodeId;
		this.members = members;
		this.position = firstMember;
		this.transport = transport;
	}

	@Override
	public Optional<List<Departure>> read() {
		return ask(new DepartureRequest.Read(this.nodeId, false)).map(DepartureAnswer::departures);
	}

	@Override
	public boolean keep(Departure departure) {
		return ask(new DepartureRequest.Keep(this.nodeId, departure, false)).isPresent();
	}

	private Optional<DepartureAnswer> ask(DepartureRequest request) {
		List<String> known = this.members.get();
		for (int attempt = 0; attempt < known.size(); attempt++) {
			String address = known.get(Math.floorMod(this.position, known.size()));
			Either<CallFailure, DepartureAnswer> answer = this.transport.send(address, request, ATTEMPT_TIMEOUT_MILLIS);
			if (answer.isRight() && answer.get().confirmed()) {
				return Optional.of(answer.get());
			}
			Logger.debug("node: Control member {} does not confirm {}: {}.", address, request,
					answer.fold(CallFailure::reason, (unconfirmed) -> "no leader"));
			this.position++;
		}
		return Optional.empty();
	}

	/**
	 * Sends requests to control members.
	 */
	@FunctionalInterface
	interface Transport {

		/**
		 * Sends a request and waits for the answer.
		 * @param address {@code ip:port} of the member
		 * @param request the request
		 * @param timeoutMillis maximum wait in milliseconds
		 * @return the answer or the failure
		 */
		Either<CallFailure, DepartureAnswer> send(String address, DepartureRequest request, long timeoutMillis);

	}

}
