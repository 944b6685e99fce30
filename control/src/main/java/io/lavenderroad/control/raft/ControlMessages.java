package io.lavenderroad.control.raft;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import io.lavenderroad.control.log.EntryKind;
import io.lavenderroad.control.log.LogEntry;
import io.lavenderroad.core.wire.Fields;
import io.lavenderroad.core.wire.MessageType;
import io.lavenderroad.core.wire.WireException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Message types exchanged between control members, codes 100 to 149.
 */
public final class ControlMessages {

	private static final AppendResponse.Result[] RESULTS = AppendResponse.Result.values();

	private static final List<MessageType<?>> TYPES = List.of(
			new MessageType<>(100, VoteRequest.class, ControlMessages::packVoteRequest,
					ControlMessages::unpackVoteRequest),
			new MessageType<>(101, VoteResponse.class, ControlMessages::packVoteResponse,
					(unpacker) -> new VoteResponse(unpacker.unpackLong(), unpacker.unpackBoolean())),
			new MessageType<>(102, AppendRequest.class, ControlMessages::packAppendRequest,
					ControlMessages::unpackAppendRequest),
			new MessageType<>(103, AppendResponse.class, ControlMessages::packAppendResponse,
					ControlMessages::unpackAppendResponse),
			new MessageType<>(104, SnapshotChunk.class, ControlMessages::packSnapshotChunk,
					ControlMessages::unpackSnapshotChunk),
			new MessageType<>(105, SnapshotResponse.class, ControlMessages::packSnapshotResponse,
					(unpacker) -> new SnapshotResponse(unpacker.unpackLong(), unpacker.unpackInt(),
							unpacker.unpackBoolean())),
			new MessageType<>(106, CommitNotice.class, ControlMessages::packCommitNotice,
					(unpacker) -> new CommitNotice(unpacker.unpackLong(), unpacker.unpackString(),
							unpacker.unpackLong())),
			new MessageType<>(107, TimeoutNow.class, ControlMessages::packTimeoutNow,
					(unpacker) -> new TimeoutNow(unpacker.unpackLong(), unpacker.unpackString())),
			new MessageType<>(108, JoinRequest.class,
					(message, packer) -> packer.packString(message.id()).packString(message.address()),
					(unpacker) -> new JoinRequest(unpacker.unpackString(), unpacker.unpackString())),
			new MessageType<>(109, JoinResponse.class, ControlMessages::packJoinResponse,
					(unpacker) -> new JoinResponse(unpacker.unpackBoolean(), Fields.unpackOptionalText(unpacker))),
			new MessageType<>(110, LeaveRequest.class, (message, packer) -> packer.packString(message.id()),
					(unpacker) -> new LeaveRequest(unpacker.unpackString())),
			new MessageType<>(111, LeaveResponse.class, ControlMessages::packLeaveResponse,
					(unpacker) -> new LeaveResponse(unpacker.unpackBoolean(), Fields.unpackOptionalText(unpacker))));

	private static final Set<Class<?>> CLASSES = TYPES.stream().map(MessageType::type).collect(Collectors.toSet());

	private ControlMessages() {
	}

	/**
	 * Returns the message types for a catalog.
	 * @return the types
	 */
	public static List<MessageType<?>> types() {
		return TYPES;
	}

	/**
	 * Returns whether a message is one of these types, so that several components of a
	 * process can share one frame server.
	 * @param message the message
	 * @return true if {@link ControlMember#handler()} handles it
	 */
	public static boolean contains(Object message) {
		return CLASSES.contains(message.getClass());
	}

	private static void packJoinResponse(JoinResponse message, MessagePacker packer) throws IOException {
		packer.packBoolean(message.member());
		Fields.packOptionalText(packer, message.leaderAddress());
	}

	private static void packLeaveResponse(LeaveResponse message, MessagePacker packer) throws IOException {
		packer.packBoolean(message.released());
		Fields.packOptionalText(packer, message.leaderAddress());
	}

	private static void packVoteRequest(VoteRequest message, MessagePacker packer) throws IOException {
		packer.packLong(message.term());
		packer.packString(message.candidateId());
		packer.packLong(message.lastIndex());
		packer.packLong(message.lastTerm());
		packer.packBoolean(message.preVote());
		packer.packBoolean(message.leadershipTransfer());
	}

	private static VoteRequest unpackVoteRequest(MessageUnpacker unpacker) throws IOException {
		return new VoteRequest(unpacker.unpackLong(), unpacker.unpackString(), unpacker.unpackLong(),
				unpacker.unpackLong(), unpacker.unpackBoolean(), unpacker.unpackBoolean());
	}

	private static void packVoteResponse(VoteResponse message, MessagePacker packer) throws IOException {
		packer.packLong(message.term());
		packer.packBoolean(message.granted());
	}

	private static void packAppendRequest(AppendRequest message, MessagePacker packer) throws IOException {
		packer.packLong(message.term());
		packer.packString(message.leaderId());
		packer.packLong(message.previousIndex());
		packer.packLong(message.previousTerm());
		packer.packLong(message.commitIndex());
		Fields.packList(packer, message.entries(), ControlMessages::packEntry);
	}

	private static AppendRequest unpackAppendRequest(MessageUnpacker unpacker) throws IOException {
		AppendRequest request = new AppendRequest(unpacker.unpackLong(), unpacker.unpackString(), unpacker.unpackLong(),
				unpacker.unpackLong(), unpacker.unpackLong(),
				Fields.unpackList(unpacker, ControlMessages::unpackEntry));
		long expected = request.previousIndex() + 1;
		for (LogEntry entry : request.entries()) {
			if (entry.index() != expected++) {
				throw new WireException("entry " + entry.index() + " does not follow the entry before it");
			}
		}
		return request;
	}

	private static void packEntry(LogEntry entry, MessagePacker packer) throws IOException {
		packer.packLong(entry.index());
		packer.packLong(entry.term());
		packer.packInt(entry.kind().code());
		Fields.packBytes(packer, entry.payload());
	}

	private static LogEntry unpackEntry(MessageUnpacker unpacker) throws IOException {
		return new LogEntry(unpacker.unpackLong(), unpacker.unpackLong(), EntryKind.of(unpacker.unpackInt()),
				Fields.unpackBytes(unpacker));
	}

	private static void packAppendResponse(AppendResponse message, MessagePacker packer) throws IOException {
		packer.packLong(message.term());
		packer.packInt(message.result().ordinal());
		packer.packLong(message.index());
	}

	private static AppendResponse unpackAppendResponse(MessageUnpacker unpacker) throws IOException {
		long term = unpacker.unpackLong();
		int result = unpacker.unpackInt();
		if (result < 0 || result >= RESULTS.length) {
			throw new WireException("unknown result of an append: " + result);
		}
		return new AppendResponse(term, RESULTS[result], unpacker.unpackLong());
	}

	private static void packSnapshotChunk(SnapshotChunk message, MessagePacker packer) throws IOException {
		packer.packLong(message.term());
		packer.packString(message.leaderId());
		packer.packLong(message.snapshotIndex());
		packer.packLong(message.snapshotTerm());
		Fields.packBytes(packer, message.members());
		packer.packInt(message.totalBytes());
		packer.packInt(message.checksum());
		packer.packInt(message.offset());
		Fields.packBytes(packer, message.bytes());
	}

	private static SnapshotChunk unpackSnapshotChunk(MessageUnpacker unpacker) throws IOException {
		return new SnapshotChunk(unpacker.unpackLong(), unpacker.unpackString(), unpacker.unpackLong(),
				unpacker.unpackLong(), Fields.unpackBytes(unpacker), unpacker.unpackInt(), unpacker.unpackInt(),
				unpacker.unpackInt(), Fields.unpackBytes(unpacker));
	}

	private static void packSnapshotResponse(SnapshotResponse message, MessagePacker packer) throws IOException {
		packer.packLong(message.term());
		packer.packInt(message.nextOffset());
		packer.packBoolean(message.installed());
	}

	private static void packCommitNotice(CommitNotice message, MessagePacker packer) throws IOException {
		packer.packLong(message.term());
		packer.packString(message.leaderId());
		packer.packLong(message.commitIndex());
	}

	private static void packTimeoutNow(TimeoutNow message, MessagePacker packer) throws IOException {
		packer.packLong(message.term());
		packer.packString(message.leaderId());
	}

}
