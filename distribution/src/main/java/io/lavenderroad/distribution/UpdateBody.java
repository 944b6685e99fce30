package io.lavenderroad.distribution;

import java.io.IOException;
import java.util.Objects;

import io.lavenderroad.core.wire.Compression;
import io.lavenderroad.core.wire.Fields;
import io.lavenderroad.core.wire.MessageDecoder;
import io.lavenderroad.core.wire.MessageEncoder;
import io.lavenderroad.model.binding.ConfigurationBinding;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Content of an update, which is encoded and compressed once for all children. It is
 * compressed because a relay sends it to each child over the same link, and a change of
 * many routes is repetitive.
 *
 * @param <T> type of the content
 */
final class UpdateBody<T> {

	/**
	 * Minimum size for compression, which costs more than it saves for smaller content.
	 */
	private static final int MINIMUM_COMPRESSED_BYTES = 512;

	private final T value;

	private final MessageEncoder<T> encoder;

	private volatile Encoded encoded;

	UpdateBody(T value, MessageEncoder<T> encoder) {
		this.value = Objects.requireNonNull(value, "value");
		this.encoder = encoder;
	}

	T value() {
		return this.value;
	}

	void pack(MessagePacker packer) throws IOException {
		Encoded form = encoded();
		packer.packInt(form.plainBytes());
		packer.packBoolean(form.compressed());
		Fields.packBytes(packer, form.bytes());
	}

	static <T> T unpack(MessageUnpacker unpacker, MessageDecoder<T> decoder) throws IOException {
		int plainBytes = unpacker.unpackInt();
		boolean compressed = unpacker.unpackBoolean();
		byte[] bytes = Fields.unpackBytes(unpacker);
		return decoder.decode(Fields.unpacker(compressed ? Compression.decompress(bytes, plainBytes) : bytes));
	}

	private Encoded encoded() {
		Encoded form = this.encoded;
		if (form == null) {
			form = encode();
			this.encoded = form;
		}
		return form;
	}

	private Encoded encode() {
		byte[] plain = ConfigurationBinding.toBytes(this.value, this.encoder);
		boolean compressed = plain.length >= MINIMUM_COMPRESSED_BYTES;
		return new Encoded(plain.length, compressed, compressed ? Compression.compress(plain) : plain);
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof UpdateBody<?> body && this.value.equals(body.value);
	}

	@Override
	public int hashCode() {
		return this.value.hashCode();
	}

	@Override
	public String toString() {
		return this.value.toString();
	}

	private record Encoded(int plainBytes, boolean compressed, byte[] bytes) {

	}

}
