package io.lavenderroad.node;

import java.io.IOException;
import java.util.List;

import io.lavenderroad.core.wire.Fields;
import io.lavenderroad.core.wire.MessageType;
import io.lavenderroad.core.wire.WireException;
import org.msgpack.core.MessageFormat;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Messages between the holders of idempotency keys.
 */
final class KeyMessages {

	static final List<MessageType<?>> TYPES = List.of(
			new MessageType<>(310, ClaimKey.class, (message, packer) -> packClaim(message.claim(), packer),
					(unpacker) -> new ClaimKey(unpackClaim(unpacker))),
			new MessageType<>(311, ClaimResult.class, KeyMessages::packResult, KeyMessages::unpackResult),
			new MessageType<>(312, SettleKey.class, KeyMessages::packSettle,
					(unpacker) -> new SettleKey(unpackClaim(unpacker), NodeMessages.unpackAnswer(unpacker))),
			new MessageType<>(313, Stored.class, (message, packer) -> packer.packBoolean(message.complete()),
					(unpacker) -> new Stored(unpacker.unpackBoolean())),
			new MessageType<>(314, PullKeys.class, KeyMessages::packPull,
					(unpacker) -> new PullKeys(unpacker.unpackString(), unpackDigest(unpacker))),
			new MessageType<>(315, KeyRecords.class,
					(message, packer) -> Fields.packList(packer, message.records(), KeyMessages::packRecord),
					(unpacker) -> new KeyRecords(Fields.unpackList(unpacker, KeyMessages::unpackRecord))));

	private static final List<KeyState> STATES = List.of(KeyState.values());

	private KeyMessages() {
	}

	private static void packClaim(KeyClaim claim, MessagePacker packer) throws IOException {
		packDigest(claim.key(), packer);
		packDigest(claim.content(), packer);
		packer.packString(claim.claimant());
		packer.packLong(claim.incarnation());
		packer.packLong(claim.attempt());
	}

	private static KeyClaim unpackClaim(MessageUnpacker unpacker) throws IOException {
		return new KeyClaim(unpackDigest(unpacker), unpackDigest(unpacker), unpacker.unpackString(),
				unpacker.unpackLong(), unpacker.unpackLong());
	}

	private static void packSettle(SettleKey message, MessagePacker packer) throws IOException {
		packClaim(message.claim(), packer);
		NodeMessages.packAnswer(message.outcome(), packer);
	}

	private static void packPull(PullKeys message, MessagePacker packer) throws IOException {
		packer.packString(message.nodeId());
		packDigest(message.after(), packer);
	}

	private static void packResult(ClaimResult result, MessagePacker packer) throws IOException {
		packer.packBoolean(result.activeHolder());
		if (result.record() == null) {
			packer.packNil();
		}
		else {
			packRecord(result.record(), packer);
		}
	}

	private static ClaimResult unpackResult(MessageUnpacker unpacker) throws IOException {
		boolean activeHolder = unpacker.unpackBoolean();
		if (unpacker.getNextFormat() == MessageFormat.NIL) {
			unpacker.unpackNil();
			return new ClaimResult(activeHolder, null);
		}
		return new ClaimResult(activeHolder, unpackRecord(unpacker));
	}

	private static void packRecord(KeyRecord record, MessagePacker packer) throws IOException {
		packClaim(record.claim(), packer);
		packer.packInt(record.state().ordinal());
		packer.packLong(record.createdMillis());
		if (record.state() == KeyState.DONE) {
			NodeMessages.packAnswer(record.answer(), packer);
		}
	}

	private static KeyRecord unpackRecord(MessageUnpacker unpacker) throws IOException {
		KeyClaim claim = unpackClaim(unpacker);
		int ordinal = unpacker.unpackInt();
		if (ordinal < 0 || ordinal >= STATES.size()) {
			throw new WireException("key state " + ordinal + " is outside 0 to " + (STATES.size() - 1));
		}
		long createdMillis = unpacker.unpackLong();
		KeyState state = STATES.get(ordinal);
		CallAnswer answer = (state == KeyState.DONE) ? NodeMessages.unpackAnswer(unpacker) : null;
		return new KeyRecord(claim, state, answer, createdMillis);
	}

	private static void packDigest(KeyDigest digest, MessagePacker packer) throws IOException {
		packer.packLong(digest.high());
		packer.packLong(digest.low());
	}

	private static KeyDigest unpackDigest(MessageUnpacker unpacker) throws IOException {
		return new KeyDigest(unpacker.unpackLong(), unpacker.unpackLong());
	}

	/**
	 * Requests that a holder record a claim.
	 *
	 * @param claim the claim
	 */
	record ClaimKey(KeyClaim claim) {

	}

	/**
	 * Answer of a holder to a claim.
	 *
	 * @param activeHolder whether the holder counts as one; false while it is joining or
	 * leaving, as it may lack older records
	 * @param record the stored record, or null if the holder has no memory for one
	 */
	record ClaimResult(boolean activeHolder, KeyRecord record) {

	}

	/**
	 * Sends the outcome of a claimed call to a holder.
	 *
	 * @param claim the claim
	 * @param outcome the outcome; "not run" removes the claim
	 */
	record SettleKey(KeyClaim claim, CallAnswer outcome) {

	}

	/**
	 * Confirms that a holder has stored records.
	 *
	 * @param complete false if the holder had no memory for one of them
	 */
	record Stored(boolean complete) {

	}

	/**
	 * Requests from a holder the records that the sender must hold, too.
	 *
	 * @param nodeId id of the sender
	 * @param after only larger keys are returned
	 */
	record PullKeys(String nodeId, KeyDigest after) {

	}

	/**
	 * Records of a holder, ordered by key. An empty list in an answer ends the transfer.
	 * In place of creation times they carry ages in milliseconds, because clocks differ.
	 *
	 * @param records the records
	 */
	record KeyRecords(List<KeyRecord> records) {

	}

}
