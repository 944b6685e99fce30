package io.lavenderroad.control.state;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

import io.lavenderroad.control.state.Command.ReplaceConfiguration;
import io.lavenderroad.core.wire.Fields;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * The active declared configuration and the digests of accepted declarations. Guarded by
 * the lock of {@link MeshStateMachine}.
 */
final class DeclaredState {

	/**
	 * Maximum number of accepted declarations whose digests are kept to recognize
	 * resends; there are hundreds of changes a day.
	 */
	private static final int MAXIMUM_ACCEPTED_DIGESTS = 20_000;

	long version;

	final TreeMap<String, String> parts = new TreeMap<>();

	final LinkedHashMap<Long, String> acceptedDigests = new LinkedHashMap<>();

	/**
	 * Returns whether a declaration was accepted before.
	 * @param declaredVersion version that the operator chose
	 * @param digest digest of the declaration
	 * @return true if exactly this declaration was accepted
	 */
	boolean wasAccepted(long declaredVersion, String digest) {
		return digest.equals(this.acceptedDigests.get(declaredVersion));
	}

	void replace(ReplaceConfiguration command) {
		this.version = command.declaredVersion();
		command.removedParts().forEach(this.parts::remove);
		this.parts.putAll(command.changedParts());
		this.acceptedDigests.put(command.declaredVersion(), command.digest());
		if (this.acceptedDigests.size() > MAXIMUM_ACCEPTED_DIGESTS) {
			this.acceptedDigests.pollFirstEntry();
		}
	}

	void pack(MessagePacker packer) throws IOException {
		packer.packLong(this.version);
		Fields.packMap(packer, this.parts, (text, target) -> target.packString(text));
		packer.packArrayHeader(this.acceptedDigests.size());
		for (Map.Entry<Long, String> entry : this.acceptedDigests.entrySet()) {
			packer.packLong(entry.getKey());
			packer.packString(entry.getValue());
		}
	}

	void unpack(MessageUnpacker unpacker) throws IOException {
		this.version = unpacker.unpackLong();
		this.parts.putAll(Fields.unpackMap(unpacker, MessageUnpacker::unpackString));
		int size = unpacker.unpackArrayHeader();
		for (int index = 0; index < size; index++) {
			this.acceptedDigests.put(unpacker.unpackLong(), unpacker.unpackString());
		}
	}

}
