package io.lavenderroad.control.state;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.lavenderroad.core.wire.Fields;
import io.lavenderroad.model.departure.Departure;
import io.lavenderroad.model.departure.DepartureMessages;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Departures of backend servers by VM. A departure matters while announcements from
 * before it may still arrive, so the oldest ones are dropped by their number alone.
 * Guarded by the lock of {@link MeshStateMachine}.
 */
final class KeptDepartures {

	/**
	 * Maximum number of VMs, those with the newest departures.
	 */
	static final int MAXIMUM_VMS = 2_048;

	/**
	 * Maximum number of departures of a VM.
	 */
	static final int MAXIMUM_PER_VM = 8;

	/**
	 * Departures by node id, the VM with the newest departure last.
	 */
	private final LinkedHashMap<String, List<Departure>> byNode = new LinkedHashMap<>();

	boolean isEmpty() {
		return this.byNode.isEmpty();
	}

	int size() {
		return this.byNode.size();
	}

	void add(String nodeId, Departure departure) {
		List<Departure> departures = new ArrayList<>(of(nodeId));
		departures.remove(departure);
		departures.add(departure);
		if (departures.size() > MAXIMUM_PER_VM) {
			departures.removeFirst();
		}
		this.byNode.putLast(nodeId, List.copyOf(departures));
		if (this.byNode.size() > MAXIMUM_VMS) {
			this.byNode.pollFirstEntry();
		}
	}

	List<Departure> of(String nodeId) {
		return this.byNode.getOrDefault(nodeId, List.of());
	}

	void pack(MessagePacker packer) throws IOException {
		packer.packMapHeader(this.byNode.size());
		for (Map.Entry<String, List<Departure>> entry : this.byNode.entrySet()) {
			packer.packString(entry.getKey());
			Fields.packList(packer, entry.getValue(), DepartureMessages::packDeparture);
		}
	}

	void unpack(MessageUnpacker unpacker) throws IOException {
		int size = unpacker.unpackMapHeader();
		for (int index = 0; index < size; index++) {
			this.byNode.put(unpacker.unpackString(), Fields.unpackList(unpacker, DepartureMessages::unpackDeparture));
		}
	}

}
