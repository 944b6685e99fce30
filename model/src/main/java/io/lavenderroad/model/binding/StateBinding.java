package io.lavenderroad.model.binding;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.lavenderroad.core.wire.Fields;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.EndpointState;
import io.lavenderroad.model.Evidence;
import io.lavenderroad.model.LatencyHistogram;
import io.lavenderroad.model.MoveParameters;
import io.lavenderroad.model.MoveState;
import io.lavenderroad.model.MoveStatus;
import io.lavenderroad.model.ObservationKey;
import io.lavenderroad.model.Observations;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.tinylog.Logger;

/**
 * MessagePack binding of endpoints, evidence and moves.
 */
public final class StateBinding {

	private StateBinding() {
	}

	/**
	 * Writes an endpoint.
	 * @param endpoint the endpoint
	 * @param packer target of the encoded form
	 * @throws IOException if the packer fails
	 */
	public static void packEndpoint(Endpoint endpoint, MessagePacker packer) throws IOException {
		packer.packString(endpoint.nodeId());
		packer.packLong(endpoint.incarnation());
		packer.packLong(endpoint.sequence());
		packer.packInt(endpoint.state().ordinal());
		packer.packString(endpoint.service());
		packer.packString(endpoint.version());
		packer.packString(endpoint.region());
		packer.packString(endpoint.failureDomain());
		packer.packString(endpoint.frameAddress());
		packer.packInt(endpoint.slots());
		packer.packInt(endpoint.capacity());
		packer.packString(endpoint.attachedTo());
	}

	/**
	 * Reads a list of endpoints. Entries with values that no backend server can have are
	 * left out, so that one of them does not keep the others from arriving.
	 * @param unpacker source of the encoded form
	 * @return the valid endpoints
	 * @throws IOException if the input is truncated
	 */
	public static List<Endpoint> unpackEndpoints(MessageUnpacker unpacker) throws IOException {
		return Fields.unpackList(unpacker, StateBinding::unpackEndpoint).stream().flatMap(Optional::stream).toList();
	}

	private static Optional<Endpoint> unpackEndpoint(MessageUnpacker unpacker) throws IOException {
		String nodeId = unpacker.unpackString();
		long incarnation = unpacker.unpackLong();
		long sequence = unpacker.unpackLong();
		int state = unpacker.unpackInt();
		boolean stateIsKnown = state >= 0 && state < EndpointState.values().length;
		Endpoint endpoint = new Endpoint(nodeId, incarnation, sequence,
				stateIsKnown ? EndpointState.values()[state] : EndpointState.EXPIRED, unpacker.unpackString(),
				unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackString(),
				unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackString());
		if (stateIsKnown && endpoint.isValid()) {
			return Optional.of(endpoint);
		}
		Logger.warn("model: Left out the endpoint of node {} with state {}, address {}, {} slots and capacity {}.",
				nodeId, state, endpoint.frameAddress(), endpoint.slots(), endpoint.capacity());
		return Optional.empty();
	}

	/**
	 * Writes evidence.
	 * @param evidence the evidence
	 * @param packer target of the encoded form
	 * @throws IOException if the packer fails
	 */
	public static void packEvidence(Evidence evidence, MessagePacker packer) throws IOException {
		packer.packArrayHeader(evidence.observations().size());
		for (Map.Entry<ObservationKey, Observations> entry : evidence.observations().entrySet()) {
			packer.packString(entry.getKey().service());
			packer.packString(entry.getKey().route());
			packer.packString(entry.getKey().version());
			packObservations(entry.getValue(), packer);
		}
	}

	/**
	 * Reads evidence.
	 * @param unpacker source of the encoded form
	 * @return the evidence
	 * @throws IOException if the input is truncated
	 */
	public static Evidence unpackEvidence(MessageUnpacker unpacker) throws IOException {
		int count = unpacker.unpackArrayHeader();
		Map<ObservationKey, Observations> observations = new TreeMap<>();
		for (int index = 0; index < count; index++) {
			ObservationKey key = new ObservationKey(unpacker.unpackString(), unpacker.unpackString(),
					unpacker.unpackString());
			observations.put(key, unpackObservations(unpacker));
		}
		return Evidence.of(observations);
	}

	/**
	 * Writes the state of a move.
	 * @param move the state
	 * @param packer target of the encoded form
	 * @throws IOException if the packer fails
	 */
	public static void packMove(MoveState move, MessagePacker packer) throws IOException {
		packer.packString(move.service());
		ConfigurationBinding.packMoveParameters(move.parameters(), packer);
		packer.packLong(move.startedMillis());
		packer.packString(move.status().name());
		packer.packInt(move.step());
		packer.packInt(move.shareBasisPoints());
		packer.packLong(move.stepMillis());
		packer.packString(move.reason());
		packer.packString(move.route());
		packer.packString(move.statistics());
		packer.packLong(move.finishedMillis());
		Fields.packList(packer, move.warnings(), (warning, target) -> target.packString(warning));
	}

	/**
	 * Reads the state of a move.
	 * @param unpacker source of the encoded form
	 * @return the state
	 * @throws IOException if the input is truncated
	 */
	public static MoveState unpackMove(MessageUnpacker unpacker) throws IOException {
		String service = unpacker.unpackString();
		MoveParameters parameters = ConfigurationBinding.unpackMoveParameters(unpacker);
		return new MoveState(service, parameters, unpacker.unpackLong(), MoveStatus.valueOf(unpacker.unpackString()),
				unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackLong(), unpacker.unpackString(),
				unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackLong(),
				Fields.unpackList(unpacker, MessageUnpacker::unpackString));
	}

	private static void packObservations(Observations observations, MessagePacker packer) throws IOException {
		packer.packLong(observations.calls());
		packer.packLong(observations.errors());
		packer.packLong(observations.refusals());
		long[] counts = observations.latencies().counts();
		int usedBuckets = counts.length;
		// Most histograms end with empty buckets, which are not written.
		while (usedBuckets > 0 && counts[usedBuckets - 1] == 0) {
			usedBuckets--;
		}
		packer.packArrayHeader(usedBuckets);
		for (int bucket = 0; bucket < usedBuckets; bucket++) {
			packer.packLong(counts[bucket]);
		}
	}

	private static Observations unpackObservations(MessageUnpacker unpacker) throws IOException {
		long calls = unpacker.unpackLong();
		long errors = unpacker.unpackLong();
		long refusals = unpacker.unpackLong();
		int usedBuckets = unpacker.unpackArrayHeader();
		long[] counts = new long[LatencyHistogram.BUCKETS];
		for (int bucket = 0; bucket < usedBuckets; bucket++) {
			counts[bucket] = unpacker.unpackLong();
		}
		return new Observations(calls, errors, refusals, LatencyHistogram.of(counts));
	}

}
