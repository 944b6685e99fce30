package io.lavenderroad.node;

import java.io.IOException;
import java.util.List;
import java.util.stream.Stream;

import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.core.wire.Fields;
import io.lavenderroad.core.wire.MessageType;
import io.lavenderroad.core.wire.WireException;
import io.lavenderroad.model.departure.DepartureMessages;
import io.lavenderroad.policy.calls.CallOrigin;
import io.lavenderroad.policy.quota.QuotaMessages;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Messages between nodes, codes 300 to 349, and those about quotas and departures.
 */
public final class NodeMessages {

	private static final int CALL_REQUEST = 300;

	private static final int CALL_ANSWER = 301;

	private static final int CANCEL_CALL = 302;

	private static final List<ExecutionVerdict> VERDICTS = List.of(ExecutionVerdict.values());

	private static final List<CallOrigin> ORIGINS = List.of(CallOrigin.values());

	private static final List<Avoidance.Scope> SCOPES = List.of(Avoidance.Scope.values());

	private static final List<MessageType<?>> CALL_TYPES = List.of(
			new MessageType<>(CALL_REQUEST, CallRequest.class, NodeMessages::packRequest, NodeMessages::unpackRequest),
			new MessageType<>(CALL_ANSWER, CallAnswer.class, NodeMessages::packAnswer, NodeMessages::unpackAnswer),
			new MessageType<>(CANCEL_CALL, CancelCall.class, (message, packer) -> packer.packLong(message.callId()),
					(unpacker) -> new CancelCall(unpacker.unpackLong())));

	private static final List<MessageType<?>> TYPES = Stream
		.of(CALL_TYPES, KeyMessages.TYPES, QuotaMessages.types(), DepartureMessages.types())
		.flatMap(List::stream)
		.toList();

	private NodeMessages() {
	}

	/**
	 * Returns the message types for the catalog of the process.
	 * @return the types
	 */
	public static List<MessageType<?>> types() {
		return TYPES;
	}

	static void packAnswer(CallAnswer answer, MessagePacker packer) throws IOException {
		packer.packInt(answer.verdict().ordinal());
		packer.packInt(answer.status());
		packer.packString(answer.reason());
		Fields.packList(packer, answer.headers(), (text, target) -> target.packString(text));
		Fields.packBytes(packer, answer.body());
		packer.packInt(answer.report().load());
		packer.packInt(answer.report().serviceMillis());
		packer.packInt(answer.report().origin().ordinal());
		packer.packDouble(answer.report().startShare());
		packer.packDouble(answer.report().pace());
		packer.packInt(answer.report().slownessPercent());
		packer.packInt(answer.avoidance().scope().ordinal());
		packer.packInt(answer.avoidance().millis());
		packer.packBoolean(answer.received());
	}

	static CallAnswer unpackAnswer(MessageUnpacker unpacker) throws IOException {
		return new CallAnswer(constant(VERDICTS, unpacker), unpacker.unpackInt(), unpacker.unpackString(),
				headers(unpacker), Fields.unpackBytes(unpacker), report(unpacker), avoidance(unpacker),
				unpacker.unpackBoolean());
	}

	private static ServerReport report(MessageUnpacker unpacker) throws IOException {
		return new ServerReport(unpacker.unpackInt(), unpacker.unpackInt(), constant(ORIGINS, unpacker),
				share(unpacker.unpackDouble()), share(unpacker.unpackDouble()), slowness(unpacker.unpackInt()));
	}

	private static int slowness(int percent) {
		if (percent <= 0) {
			throw new WireException("slowness " + percent + "% is not above 0");
		}
		return percent;
	}

	private static double share(double value) {
		if (!(value >= 0 && value <= 1)) {
			throw new WireException("share " + value + " is outside 0 to 1");
		}
		return value;
	}

	private static Avoidance avoidance(MessageUnpacker unpacker) throws IOException {
		return new Avoidance(constant(SCOPES, unpacker), unpacker.unpackInt());
	}

	private static void packRequest(CallRequest request, MessagePacker packer) throws IOException {
		packer.packLong(request.callId());
		packer.packString(request.service());
		packer.packString(request.version());
		packer.packString(request.route());
		packer.packString(request.method());
		packer.packString(request.target());
		Fields.packList(packer, request.headers(), (text, target) -> target.packString(text));
		Fields.packBytes(packer, request.body());
		packer.packString(request.customer());
		packer.packString(request.key());
		packer.packInt(request.remainingMillis());
		packer.packInt(request.attemptBudget());
		packer.packString(request.metadata().requestId());
		packer.packString(request.metadata().callerService());
		packer.packBoolean(request.metadata().idempotent());
		packer.packInt(request.metadata().origin().ordinal());
		packer.packInt(request.metadata().priority());
		packer.packInt(request.metadata().latencyObjectiveMillis());
		packer.packString(request.metadata().team());
	}

	private static CallRequest unpackRequest(MessageUnpacker unpacker) throws IOException {
		return new CallRequest(unpacker.unpackLong(), unpacker.unpackString(), unpacker.unpackString(),
				unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackString(), headers(unpacker),
				Fields.unpackBytes(unpacker), unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackInt(),
				unpacker.unpackInt(),
				new CallMetadata(unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackBoolean(),
						constant(ORIGINS, unpacker), unpacker.unpackInt(), unpacker.unpackInt(),
						unpacker.unpackString()));
	}

	private static List<String> headers(MessageUnpacker unpacker) throws IOException {
		List<String> headers = Fields.unpackList(unpacker, MessageUnpacker::unpackString);
		if (headers.size() % 2 != 0) {
			throw new WireException("headers have " + headers.size() + " texts in place of pairs");
		}
		return headers;
	}

	private static <E extends Enum<E>> E constant(List<E> constants, MessageUnpacker unpacker) throws IOException {
		int ordinal = unpacker.unpackInt();
		if (ordinal < 0 || ordinal >= constants.size()) {
			throw new WireException(constants.getFirst().getDeclaringClass().getSimpleName() + " " + ordinal
					+ " is outside 0 to " + (constants.size() - 1));
		}
		return constants.get(ordinal);
	}

}
