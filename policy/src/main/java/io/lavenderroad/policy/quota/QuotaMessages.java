package io.lavenderroad.policy.quota;

import java.io.IOException;
import java.util.List;

import io.lavenderroad.core.wire.Fields;
import io.lavenderroad.core.wire.MessageType;
import io.lavenderroad.core.wire.WireException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Messages between nodes and control members about quotas. Their codes are 350 to 359.
 */
public final class QuotaMessages {

	private static final List<MessageType<?>> TYPES = List.of(
			new MessageType<>(350, QuotaRequest.class, QuotaMessages::packRequest, QuotaMessages::unpackRequest),
			new MessageType<>(351, QuotaGrant.class, QuotaMessages::packGrant, QuotaMessages::unpackGrant));

	private QuotaMessages() {
	}

	/**
	 * Returns the message types for a catalog.
	 * @return the types
	 */
	public static List<MessageType<?>> types() {
		return TYPES;
	}

	private static void packRequest(QuotaRequest message, MessagePacker packer) throws IOException {
		packer.packString(message.nodeId());
		packer.packLong(message.incarnation());
		packer.packLong(message.sequence());
		Fields.packList(packer, message.teams(), (demand, target) -> {
			target.packString(demand.team());
			target.packInt(demand.wanted());
			target.packInt(demand.expected());
			target.packInt(demand.held());
			target.packInt(demand.returned());
		});
	}

	private static QuotaRequest unpackRequest(MessageUnpacker unpacker) throws IOException {
		return new QuotaRequest(unpacker.unpackString(), unpacker.unpackLong(), unpacker.unpackLong(),
				Fields.unpackList(unpacker, (source) -> new TeamDemand(source.unpackString(), count(source),
						count(source), count(source), count(source))));
	}

	private static void packGrant(QuotaGrant message, MessagePacker packer) throws IOException {
		packer.packBoolean(message.granting());
		Fields.packOptionalText(packer, message.leaderAddress());
		Fields.packList(packer, message.teams(), (grant, target) -> {
			target.packString(grant.team());
			target.packInt(grant.immediate());
			target.packInt(grant.advance());
			target.packInt(grant.retryAfterMillis());
		});
	}

	private static QuotaGrant unpackGrant(MessageUnpacker unpacker) throws IOException {
		return new QuotaGrant(unpacker.unpackBoolean(), Fields.unpackOptionalText(unpacker), Fields.unpackList(unpacker,
				(source) -> new TeamGrant(source.unpackString(), count(source), count(source), count(source))));
	}

	private static int count(MessageUnpacker unpacker) throws IOException {
		int value = unpacker.unpackInt();
		if (value < 0) {
			throw new WireException("count " + value + " is negative");
		}
		return value;
	}

}
