package io.lavenderroad.model.departure;

import java.io.IOException;
import java.util.List;

import io.lavenderroad.core.wire.Fields;
import io.lavenderroad.core.wire.MessageType;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Messages between nodes and control members about departures. Their codes are 360 to
 * 369.
 */
public final class DepartureMessages {

	private static final List<MessageType<?>> TYPES = List.of(
			new MessageType<>(360, DepartureRequest.Keep.class, DepartureMessages::packKeep,
					DepartureMessages::unpackKeep),
			new MessageType<>(361, DepartureRequest.Read.class, DepartureMessages::packRead,
					DepartureMessages::unpackRead),
			new MessageType<>(362, DepartureAnswer.class, DepartureMessages::packAnswer,
					DepartureMessages::unpackAnswer));

	private DepartureMessages() {
	}

	/**
	 * Returns the message types for a catalog.
	 * @return the types
	 */
	public static List<MessageType<?>> types() {
		return TYPES;
	}

	/**
	 * Writes a departure.
	 * @param departure the departure
	 * @param packer destination
	 * @throws IOException if the packer fails
	 */
	public static void packDeparture(Departure departure, MessagePacker packer) throws IOException {
		packer.packString(departure.backendId());
		packer.packLong(departure.startedMillis());
		packer.packString(departure.kind().name());
	}

	/**
	 * Reads a departure.
	 * @param unpacker source
	 * @return the departure
	 * @throws IOException if the input is truncated
	 * @throws IllegalArgumentException if the kind is unknown or the id too long
	 */
	public static Departure unpackDeparture(MessageUnpacker unpacker) throws IOException {
		return new Departure(unpacker.unpackString(), unpacker.unpackLong(),
				Departure.Kind.valueOf(unpacker.unpackString()));
	}

	private static void packKeep(DepartureRequest.Keep message, MessagePacker packer) throws IOException {
		packer.packString(message.nodeId());
		packDeparture(message.departure(), packer);
		packer.packBoolean(message.forwarded());
	}

	private static DepartureRequest.Keep unpackKeep(MessageUnpacker unpacker) throws IOException {
		return new DepartureRequest.Keep(unpacker.unpackString(), unpackDeparture(unpacker), unpacker.unpackBoolean());
	}

	private static void packRead(DepartureRequest.Read message, MessagePacker packer) throws IOException {
		packer.packString(message.nodeId());
		packer.packBoolean(message.forwarded());
	}

	private static DepartureRequest.Read unpackRead(MessageUnpacker unpacker) throws IOException {
		return new DepartureRequest.Read(unpacker.unpackString(), unpacker.unpackBoolean());
	}

	private static void packAnswer(DepartureAnswer message, MessagePacker packer) throws IOException {
		packer.packBoolean(message.confirmed());
		Fields.packList(packer, message.departures(), DepartureMessages::packDeparture);
	}

	private static DepartureAnswer unpackAnswer(MessageUnpacker unpacker) throws IOException {
		return new DepartureAnswer(unpacker.unpackBoolean(),
				Fields.unpackList(unpacker, DepartureMessages::unpackDeparture));
	}

}
