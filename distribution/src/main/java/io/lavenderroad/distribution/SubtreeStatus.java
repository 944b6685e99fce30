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
 * Versions in force in a part of the tree. Lists are bounded, counts are not.
 *
 * @param versions number of nodes by version in force
 * @param laggards nodes with an older version, oldest first
 * @param rejected versions that nodes refused to apply
 * @param depth longest path of the part, in hops
 * @param bytesSent control bytes sent by all nodes of the part
 * @param bytesReceived control bytes received by all nodes of the part
 */
record SubtreeStatus(SortedMap<Long, Integer> versions, List<NodeVersion> laggards, List<RejectedVersion> rejected,
		int depth, long bytesSent, long bytesReceived) {

	/**
	 * Longest lists of laggards and of rejected versions. They bound the size of reports.
	 */
	static final int LIST_BOUND = 32;

	/**
	 * Status of a part without nodes.
	 */
	static final SubtreeStatus EMPTY = new SubtreeStatus(new TreeMap<>(), List.of(), List.of(), 0, 0, 0);

	SubtreeStatus plus(SubtreeStatus other) {
		TreeMap<Long, Integer> sum = new TreeMap<>(this.versions);
		other.versions.forEach((version, count) -> sum.merge(version, count, Integer::sum));
		List<NodeVersion> lagging = new ArrayList<>(this.laggards);
		lagging.addAll(other.laggards);
		lagging.sort(NodeVersion.OLDEST_FIRST);
		List<RejectedVersion> refused = new ArrayList<>(this.rejected);
		refused.addAll(other.rejected);
		return new SubtreeStatus(sum, bounded(lagging), bounded(refused), Math.max(this.depth, other.depth),
				this.bytesSent + other.bytesSent, this.bytesReceived + other.bytesReceived);
	}

	/**
	 * Returns the status without nodes that have a version in force.
	 * @param version the version; older ones lag
	 * @return the status
	 */
	SubtreeStatus laggingBehind(long version) {
		List<NodeVersion> lagging = this.laggards.stream().filter((node) -> node.version() < version).toList();
		return new SubtreeStatus(this.versions, lagging, this.rejected, this.depth, this.bytesSent, this.bytesReceived);
	}

	SubtreeStatus oneLevelUp() {
		return new SubtreeStatus(this.versions, this.laggards, this.rejected, this.depth + 1, this.bytesSent,
				this.bytesReceived);
	}

	int nodes() {
		return this.versions.values().stream().mapToInt(Integer::intValue).sum();
	}

	/**
	 * Compares all but the byte counts, which change with every heartbeat.
	 * @param other another status
	 * @return true if a report would say nothing new
	 */
	boolean saysTheSameAs(SubtreeStatus other) {
		return this.versions.equals(other.versions) && this.laggards.equals(other.laggards)
				&& this.rejected.equals(other.rejected) && this.depth == other.depth;
	}

	void pack(MessagePacker packer) throws IOException {
		packer.packMapHeader(this.versions.size());
		for (var entry : this.versions.entrySet()) {
			packer.packLong(entry.getKey()).packInt(entry.getValue());
		}
		Fields.packList(packer, this.laggards,
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
		List<NodeVersion> laggards = Fields.unpackList(unpacker,
				(source) -> new NodeVersion(source.unpackString(), source.unpackLong()));
		List<RejectedVersion> rejected = Fields.unpackList(unpacker,
				(source) -> new RejectedVersion(source.unpackString(), source.unpackLong(), source.unpackString()));
		return new SubtreeStatus(versions, laggards, rejected, unpacker.unpackInt(), unpacker.unpackLong(),
				unpacker.unpackLong());
	}

	private static <T> List<T> bounded(List<T> values) {
		return (values.size() > LIST_BOUND) ? List.copyOf(values.subList(0, LIST_BOUND)) : List.copyOf(values);
	}

}
