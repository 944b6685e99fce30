package io.lavenderroad.distribution;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

import io.lavenderroad.core.wire.Fields;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Active versions in a subtree. The length of the lists is limited, the counts are
 * complete.
 *
 * @param versions number of nodes by active version
 * @param laggingNodes nodes with an older version, oldest first
 * @param rejected versions that nodes rejected
 * @param depth longest path in the subtree, in hops
 * @param bytesSent control bytes sent by all nodes of the subtree
 * @param bytesReceived control bytes received by all nodes of the subtree
 */
record SubtreeStatus(SortedMap<Long, Integer> versions, List<NodeVersion> laggingNodes, List<RejectedVersion> rejected,
		int depth, long bytesSent, long bytesReceived) {

	/**
	 * Maximum length of the lists of lagging nodes and of rejected versions, which limits
	 * the size of reports.
	 */
	static final int MAXIMUM_LIST_SIZE = 32;

	/**
	 * Status of an empty subtree.
	 */
	static final SubtreeStatus EMPTY = new SubtreeStatus(new TreeMap<>(), List.of(), List.of(), 0, 0, 0);

	SubtreeStatus plus(SubtreeStatus other) {
		TreeMap<Long, Integer> sum = new TreeMap<>(this.versions);
		other.versions.forEach((version, count) -> sum.merge(version, count, Integer::sum));
		List<NodeVersion> allLaggingNodes = new ArrayList<>(this.laggingNodes);
		allLaggingNodes.addAll(other.laggingNodes);
		allLaggingNodes.sort(NodeVersion.OLDEST_FIRST);
		List<RejectedVersion> allRejected = new ArrayList<>(this.rejected);
		allRejected.addAll(other.rejected);
		return new SubtreeStatus(sum, bounded(allLaggingNodes), bounded(allRejected), Math.max(this.depth, other.depth),
				this.bytesSent + other.bytesSent, this.bytesReceived + other.bytesReceived);
	}

	/**
	 * Returns the status with only those lagging nodes that have an older version than
	 * the given one.
	 * @param version the version
	 * @return the status
	 */
	SubtreeStatus withNodesBehind(long version) {
		List<NodeVersion> remaining = this.laggingNodes.stream().filter((node) -> node.version() < version).toList();
		return new SubtreeStatus(this.versions, remaining, this.rejected, this.depth, this.bytesSent,
				this.bytesReceived);
	}

	SubtreeStatus oneHopUp() {
		return new SubtreeStatus(this.versions, this.laggingNodes, this.rejected, this.depth + 1, this.bytesSent,
				this.bytesReceived);
	}

	int nodes() {
		return this.versions.values().stream().mapToInt(Integer::intValue).sum();
	}

	/**
	 * Compares all fields but the byte counts, which change with every heartbeat.
	 * @param other another status
	 * @return true if a report of the status is redundant
	 */
	boolean equalsExceptBytes(SubtreeStatus other) {
		return this.versions.equals(other.versions) && this.laggingNodes.equals(other.laggingNodes)
				&& this.rejected.equals(other.rejected) && this.depth == other.depth;
	}

	void pack(MessagePacker packer) throws IOException {
		packer.packMapHeader(this.versions.size());
		for (var entry : this.versions.entrySet()) {
			packer.packLong(entry.getKey()).packInt(entry.getValue());
		}
		Fields.packList(packer, this.laggingNodes,
				(node, target) -> target.packString(node.nodeId()).packLong(node.version()));
		Fields.packList(packer, this.rejected, (entry,
				target) -> target.packString(entry.nodeId()).packLong(entry.version()).packString(entry.reason()));
		packer.packInt(this.depth).packLong(this.bytesSent).packLong(this.bytesReceived);
	}

	static SubtreeStatus unpack(MessageUnpacker unpacker) throws IOException {
		TreeMap<Long, Integer> versions = new TreeMap<>();
		int size = unpacker.unpackMapHeader();
		for (int index = 0; index < size; index++) {
			long version = unpacker.unpackLong();
			versions.put(version, unpacker.unpackInt());
		}
		List<NodeVersion> laggingNodes = Fields.unpackList(unpacker,
				(source) -> new NodeVersion(source.unpackString(), source.unpackLong()));
		List<RejectedVersion> rejected = Fields.unpackList(unpacker,
				(source) -> new RejectedVersion(source.unpackString(), source.unpackLong(), source.unpackString()));
		return new SubtreeStatus(versions, laggingNodes, rejected, unpacker.unpackInt(), unpacker.unpackLong(),
				unpacker.unpackLong());
	}

	private static <T> List<T> bounded(List<T> values) {
		return (values.size() > MAXIMUM_LIST_SIZE) ? List.copyOf(values.subList(0, MAXIMUM_LIST_SIZE))
				: List.copyOf(values);
	}

}
