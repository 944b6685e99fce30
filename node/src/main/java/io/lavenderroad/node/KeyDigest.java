package io.lavenderroad.node;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * The first 128 bits of a SHA-256 digest. It identifies a key (service, customer,
 * idempotency key) or the content of a request, so that records have a fixed size.
 *
 * @param high first 64 bits
 * @param low next 64 bits
 */
record KeyDigest(long high, long low) implements Comparable<KeyDigest> {

	/**
	 * Lower than every other digest.
	 */
	static final KeyDigest LOWEST = new KeyDigest(Long.MIN_VALUE, Long.MIN_VALUE);

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	/**
	 * Computes the digest of parts. Each part is prefixed with its length, so that
	 * different lists of parts never hash the same input.
	 * @param parts the parts
	 * @return the digest
	 */
	static KeyDigest of(byte[]... parts) {
		try {
			MessageDigest sha = MessageDigest.getInstance("SHA-256");
			for (byte[] part : parts) {
				sha.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.length).flip());
				sha.update(part);
			}
			ByteBuffer digest = ByteBuffer.wrap(sha.digest());
			return new KeyDigest(digest.getLong(), digest.getLong());
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is not available", ex);
		}
	}

	static KeyDigest ofKey(CallRequest request) {
		return of(bytes(request.service()), bytes(request.customer()), bytes(request.key()));
	}

	static KeyDigest ofContent(CallRequest request) {
		return of(bytes(request.method()), bytes(request.target()), request.body());
	}

	/**
	 * Returns the rendezvous weight of a node for this key (Thaler and Ravishankar, Using
	 * Name-Based Mappings to Increase Hit Rates, 1998): the nodes with the largest
	 * weights hold the record.
	 * @param nodeId id of the node
	 * @return the weight
	 */
	long weight(String nodeId) {
		long hash = FNV_OFFSET;
		for (int index = 0; index < nodeId.length(); index++) {
			hash = (hash ^ nodeId.charAt(index)) * FNV_PRIME;
		}
		return mix(mix(hash ^ this.high) + this.low);
	}

	@Override
	public int compareTo(KeyDigest other) {
		int order = Long.compare(this.high, other.high);
		return (order != 0) ? order : Long.compare(this.low, other.low);
	}

	// Finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
	private static long mix(long value) {
		long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
		return mixed ^ (mixed >>> 31);
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

}
