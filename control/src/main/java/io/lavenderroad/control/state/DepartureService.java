package io.lavenderroad.control.state;

import java.util.Optional;
import java.util.function.Function;

import io.lavenderroad.core.Clock;
import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.core.wire.Connection;
import io.lavenderroad.core.wire.ConnectionHandler;
import io.lavenderroad.core.wire.WireException;
import io.lavenderroad.model.departure.DepartureAnswer;
import io.lavenderroad.model.departure.DepartureRequest;
import org.tinylog.Logger;

/**
 * Keeps departures of backend servers for nodes, which may have no disk and forget them
 * when they end. A departure is confirmed once the replicated log holds it, and a list
 * only by the leader. Other members pass requests on, because a node may not reach the
 * leader itself.
 */
public final class DepartureService implements ConnectionHandler {

	private final MeshStateMachine stateMachine;

	private final CommandLog log;

	private final ReadConfirmation confirmation;

	private final Clock clock;

	private final Function<DepartureRequest, Optional<DepartureAnswer>> leader;

	/**
	 * Creates the service.
	 * @param stateMachine state machine of this member
	 * @param log proposes commands to the replicated log
	 * @param confirmation confirms that this member is the leader
	 * @param clock source of time
	 * @param leader sends a request to the leader if that is another member; empty if it
	 * does not answer
	 */
	public DepartureService(MeshStateMachine stateMachine, CommandLog log, ReadConfirmation confirmation, Clock clock,
			Function<DepartureRequest, Optional<DepartureAnswer>> leader) {
		this.stateMachine = stateMachine;
		this.log = log;
		this.confirmation = confirmation;
		this.clock = clock;
		this.leader = leader;
	}

	@Override
	public void received(Connection connection, Object message) {
		throw new WireException("message " + message.getClass().getSimpleName() + " needs an answer");
	}

	@Override
	public Object answer(Connection connection, Object request) {
		if (request instanceof DepartureRequest departureRequest) {
			return answer(departureRequest);
		}
		throw new WireException("request " + request.getClass().getSimpleName() + " is not about departures");
	}

	/**
	 * Answers a request. Blocks until the departure is committed or the leadership is
	 * confirmed.
	 * @param request the request
	 * @return the answer
	 */
	DepartureAnswer answer(DepartureRequest request) {
		return switch (request) {
			case DepartureRequest.Keep keep -> keep(keep);
			case DepartureRequest.Read read -> read(read);
		};
	}

	private DepartureAnswer keep(DepartureRequest.Keep request) {
		// What this member has applied is committed, whoever leads now.
		if (this.stateMachine.departures(request.nodeId()).contains(request.departure())) {
			return DepartureAnswer.KEPT;
		}
		Command command = new Command.KeepDeparture(this.clock.millis(), request.nodeId(), request.departure());
		return this.log.propose(CommandBinding.toBytes(command))
			.map(CommandBinding::outcomeFromBytes)
			.fold((failure) -> failed(request, failure), (outcome) -> kept(request, outcome));
	}

	private DepartureAnswer read(DepartureRequest.Read request) {
		return this.confirmation.confirm()
			.fold((failure) -> failed(request, failure),
					(index) -> new DepartureAnswer(true, this.stateMachine.departures(request.nodeId())));
	}

	private static DepartureAnswer kept(DepartureRequest.Keep request, CommandOutcome outcome) {
		if (!outcome.applied()) {
			Logger.warn("control: Refused to keep {} of {}: {}.", request.departure(), request.nodeId(),
					outcome.reason());
			return DepartureAnswer.UNCONFIRMED;
		}
		Logger.info("control: Kept {} of {}.", request.departure(), request.nodeId());
		return DepartureAnswer.KEPT;
	}

	private DepartureAnswer failed(DepartureRequest request, CommandFailure failure) {
		if (failure.verdict() != ExecutionVerdict.NOT_RUN || request.forwarded()) {
			return DepartureAnswer.UNCONFIRMED;
		}
		return this.leader.apply(request.forward()).orElse(DepartureAnswer.UNCONFIRMED);
	}

}
