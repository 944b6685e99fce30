package io.lavenderroad.model.rendering;

import java.io.IOException;
import java.util.Optional;

import io.lavenderroad.core.wire.Fields;
import io.lavenderroad.model.ThinEvidence;
import io.lavenderroad.model.binding.ConfigurationBinding;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * MessagePack binding of rendered services.
 */
public final class RenderingBinding {

	private RenderingBinding() {
	}

	/**
	 * Writes a rendered service.
	 * @param service the service
	 * @param packer target of the encoded form
	 * @throws IOException if the packer fails
	 */
	public static void packService(RenderedService service, MessagePacker packer) throws IOException {
		ConfigurationBinding.packService(service.configuration(), packer);
		packer.packString(service.current());
		packer.packBoolean(service.move().isPresent());
		if (service.move().isPresent()) {
			packMove(service.move().get(), packer);
		}
		Fields.packOptionalText(packer, service.immediateVersion());
	}

	/**
	 * Reads a rendered service.
	 * @param unpacker source of the encoded form
	 * @return the service
	 * @throws IOException if the input is truncated
	 */
	public static RenderedService unpackService(MessageUnpacker unpacker) throws IOException {
		return new RenderedService(ConfigurationBinding.unpackService(unpacker), unpacker.unpackString(),
				unpacker.unpackBoolean() ? Optional.of(unpackMove(unpacker)) : Optional.empty(),
				Fields.unpackOptionalText(unpacker));
	}

	private static void packMove(MoveRequest move, MessagePacker packer) throws IOException {
		packer.packString(move.from());
		packer.packString(move.to());
		packer.packInt(move.attempt());
		packer.packBoolean(move.deadline().relative());
		packer.packLong(move.deadline().millis());
		packer.packString(move.thinEvidence().name());
		packer.packString(move.policy());
	}

	private static MoveRequest unpackMove(MessageUnpacker unpacker) throws IOException {
		return new MoveRequest(unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackInt(),
				new Deadline(unpacker.unpackBoolean(), unpacker.unpackLong()),
				ThinEvidence.valueOf(unpacker.unpackString()), unpacker.unpackString());
	}

}
