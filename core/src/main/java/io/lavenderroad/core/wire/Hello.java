package io.lavenderroad.core.wire;

import java.io.IOException;

import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Handshake message that each side of a connection sends first.
 *
 * @param cluster name of the cluster; must be the same on both sides
 * @param senderId id of the sending process
 * @param role role of the sending process
 * @param incarnation start time of the sending process in milliseconds since the epoch
 * @param frameAddress {@code ip:port} where the sender accepts frames, or empty
 */
public record Hello(String cluster, String senderId, String role, long incarnation, String frameAddress) {

	/**
	 * Version of the frame protocol. Peers with a different version are refused.
	 */
	public static final int PROTOCOL_VERSION = 6;

	void encode(MessagePacker packer) throws IOException {
		packer.packInt(PROTOCOL_VERSION);
		packer.packString(this.cluster);
		packer.packString(this.senderId);
		packer.packString(this.role);
		packer.packLong(this.incarnation);
		packer.packString(this.frameAddress);
	}

	static Hello decode(MessageUnpacker unpacker) throws IOException {
		int protocolVersion = unpacker.unpackInt();
		if (protocolVersion != PROTOCOL_VERSION) {
			throw new WireException(
					"peer speaks protocol version " + protocolVersion + ", this process " + PROTOCOL_VERSION);
		}
		return new Hello(unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackString(),
				unpacker.unpackLong(), unpacker.unpackString());
	}

}
