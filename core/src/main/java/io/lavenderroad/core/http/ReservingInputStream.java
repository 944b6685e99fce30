package io.lavenderroad.core.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

/**
 * Input stream of a message head that reserves memory for each byte it returns, also
 * within a line that has not ended yet.
 */
final class ReservingInputStream extends FilterInputStream {

	/**
	 * Memory of a character of a head: two bytes in its text, and one each in the parsed
	 * field and in the copy that is sent on.
	 */
	private static final long CHARACTER_BYTES = 4;

	private final HeadMemory memory;

	ReservingInputStream(InputStream stream, HeadMemory memory) {
		super(stream);
		this.memory = memory;
	}

	@Override
	public int read() throws IOException {
		int next = super.read();
		if (next >= 0) {
			reserve(1);
		}
		return next;
	}

	@Override
	public int read(byte[] target, int offset, int length) throws IOException {
		int count = super.read(target, offset, length);
		if (count > 0) {
			reserve(count);
		}
		return count;
	}

	void reserve(int characters) throws IOException {
		this.memory.reserve(characters * CHARACTER_BYTES);
	}

}
