package io.lavenderroad.node;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.lavenderroad.core.Clock;
import io.lavenderroad.core.wire.Connection;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.MeshView;
import io.lavenderroad.model.ServiceConfiguration;
import io.lavenderroad.model.ServiceLimits;
import io.vavr.control.Either;

/**
 * Runs calls at the backend server beside this node.
 */
final class CallServer {

	/**
	 * The answer is ready this share of the remaining time before the deadline of the
	 * caller's node, so that the precise verdict arrives in time.
	 */
	private static final int MARGIN_DIVISOR = 10;

	private static final int LARGEST_MARGIN_MILLIS = 20;

	private final Clock clock;

	private final MeshView view;

	private final Endpoint self;

	private final Admission admission;

	private final BackendClient backend;

	private final Map<RunningCall, CallCancellation> running = new ConcurrentHashMap<>();

	CallServer(Clock clock, MeshView view, Endpoint self, Admission admission, BackendClient backend) {
		this.clock = clock;
		this.view = view;
		this.self = self;
		this.admission = admission;
		this.backend = backend;
	}

	/**
	 * Serves a call of another node.
	 * @param connection connection to the node
	 * @param request the call
	 * @return the outcome
	 */
	CallAnswer serve(Connection connection, CallRequest request) {
		RunningCall id = new RunningCall(connection, request.callId());
		CallCancellation cancellation = new CallCancellation();
		this.running.put(id, cancellation);
		try {
			int margin = Math.min(LARGEST_MARGIN_MILLIS, request.remainingMillis() / MARGIN_DIVISOR);
			return serve(request, this.clock.millis() + request.remainingMillis() - margin, cancellation);
		}
		finally {
			this.running.remove(id);
		}
	}

	/**
	 * Serves a call.
	 * @param request the call
	 * @param deadlineMillis when the answer is due
	 * @param cancellation ends the call early
	 * @return the outcome
	 */
	CallAnswer serve(CallRequest request, long deadlineMillis, CallCancellation cancellation) {
		if (!request.service().equals(this.self.service()) || !request.version().equals(this.self.version())) {
			return CallAnswer.notRun(HttpStatus.UNAVAILABLE,
					"this node serves " + this.self.service() + " " + this.self.version());
		}
		Either<CallAnswer, Admission.Slot> slot = this.admission.acquire(request.customer(), deadlineMillis, limits(),
				cancellation);
		if (slot.isLeft()) {
			return slot.getLeft().withLoad(this.admission.load());
		}
		return run(request, deadlineMillis, cancellation, slot.get()).withLoad(this.admission.load());
	}

	/**
	 * Cancels a call whose caller has gone.
	 * @param connection connection to the node of the caller
	 * @param callId number of the call
	 */
	void cancel(Connection connection, long callId) {
		CallCancellation cancellation = this.running.get(new RunningCall(connection, callId));
		if (cancellation != null) {
			cancellation.cancel();
		}
	}

	/**
	 * Cancels every call of a closed connection.
	 * @param connection the connection
	 */
	void closed(Connection connection) {
		this.running.forEach((call, cancellation) -> {
			if (call.connection() == connection) {
				cancellation.cancel();
			}
		});
	}

	private CallAnswer run(CallRequest request, long deadlineMillis, CallCancellation cancellation,
			Admission.Slot slot) {
		long startNanos = System.nanoTime();
		double tookMillis = -1;
		try {
			long remaining = deadlineMillis - this.clock.millis();
			if (remaining <= 0) {
				return CallAnswer.notRun(HttpStatus.GATEWAY_TIMEOUT, "deadline passed while the call was queued");
			}
			CallAnswer answer = this.backend.run(request, remaining, cancellation);
			// A time-out is a lower bound of the service time; other failures tell
			// nothing.
			if (answer.status() < HttpStatus.INTERNAL_ERROR || answer.status() == HttpStatus.GATEWAY_TIMEOUT) {
				tookMillis = (System.nanoTime() - startNanos) / 1e6;
			}
			return answer;
		}
		finally {
			slot.release(tookMillis);
		}
	}

	private ServiceLimits limits() {
		return this.view.configuration()
			.flatMap((configuration) -> configuration.service(this.self.service()))
			.map(ServiceConfiguration::limits)
			.orElse(ServiceLimits.DEFAULT);
	}

	private record RunningCall(Connection connection, long callId) {

	}

}
