package io.lavenderroad.control.state;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import io.lavenderroad.control.state.ServicePlanner.ServiceBefore;
import io.lavenderroad.core.LavenderroadException;
import io.lavenderroad.core.wire.Fields;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.MoveState;
import io.lavenderroad.model.ServiceConfiguration;
import io.lavenderroad.model.binding.ConfigurationBinding;
import io.lavenderroad.model.binding.StateBinding;
import io.lavenderroad.model.rendering.RenderedService;
import io.lavenderroad.model.rendering.RenderingBinding;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * State of {@link MeshStateMachine} and its snapshot encoding. Guarded by the lock of the
 * state machine.
 */
final class MeshState {

	/**
	 * Version of the snapshot format.
	 */
	static final int FORMAT_VERSION = 2;

	/**
	 * Number of outcomes that are kept regardless of their age.
	 */
	static final int MINIMUM_OUTCOMES = 100_000;

	/**
	 * Age in command time up to which outcomes are kept regardless of their number.
	 */
	static final long MINIMUM_OUTCOME_AGE_MILLIS = 30L * 86_400_000;

	/**
	 * Maximum number of events in the history, about a day at the design rate of changes.
	 */
	static final int MAXIMUM_HISTORY_ENTRIES = 10_000;

	/**
	 * Maximum number of final moves that are kept in addition to those that the documents
	 * still request.
	 */
	static final int MAXIMUM_FINAL_MOVES = 10_000;

	private static final int MAXIMUM_HISTORY_LINES = 100;

	long appliedIndex;

	long latestCommandMillis;

	long lastChangeVersion;

	String lastChangeId = "";

	String lastChangeOperator = "";

	MeshConfiguration configuration = MeshConfiguration.EMPTY;

	final TreeMap<String, String> documents = new TreeMap<>();

	final TreeMap<String, RenderedService> requested = new TreeMap<>();

	final Map<String, StoredOutcome> outcomes = new LinkedHashMap<>();

	final Deque<HistoryEntry> history = new ArrayDeque<>();

	final Map<String, MoveState> moves = new LinkedHashMap<>();

	final TreeMap<String, String> requestedMoves = new TreeMap<>();

	final DeclaredState declared = new DeclaredState();

	/**
	 * Version that serves a declared service when no move is active, by service name.
	 */
	final TreeMap<String, String> currentVersions = new TreeMap<>();

	final KeptDepartures departures = new KeptDepartures();

	Optional<ServiceBefore> before(String service) {
		RenderedService request = this.requested.get(service);
		Optional<ServiceConfiguration> current = this.configuration.service(service);
		if (request == null || current.isEmpty()) {
			return Optional.empty();
		}
		Optional<MoveState> move = Optional.ofNullable(this.requestedMoves.get(service)).map(this.moves::get);
		return Optional.of(new ServiceBefore(request, current.get(), move));
	}

	void storeOutcome(String changeId, StoredOutcome outcome) {
		this.outcomes.put(changeId, outcome);
		Iterator<StoredOutcome> oldest = this.outcomes.values().iterator();
		while (this.outcomes.size() > MINIMUM_OUTCOMES
				&& oldest.next().atMillis() < this.latestCommandMillis - MINIMUM_OUTCOME_AGE_MILLIS) {
			oldest.remove();
		}
	}

	void record(HistoryEntry entry) {
		List<String> lines = entry.lines();
		if (lines.size() > MAXIMUM_HISTORY_LINES) {
			lines = new ArrayList<>(lines.subList(0, MAXIMUM_HISTORY_LINES));
			lines.add((entry.lines().size() - MAXIMUM_HISTORY_LINES) + " more");
		}
		this.history.addLast(
				new HistoryEntry(entry.version(), entry.atMillis(), entry.kind(), entry.id(), entry.operator(), lines));
		while (this.history.size() > MAXIMUM_HISTORY_ENTRIES) {
			this.history.removeFirst();
		}
	}

	/**
	 * Replaces the configuration. Nodes check the same; they would reject an incomplete
	 * version although its command was acknowledged.
	 * @param next the next configuration
	 * @throws IncompleteConfigurationException if nodes would reject it; the state is
	 * unchanged then
	 */
	void replaceConfiguration(MeshConfiguration next) {
		List<String> problems = next.missingResources();
		if (!problems.isEmpty()) {
			throw new IncompleteConfigurationException(String.join("; ", problems));
		}
		this.configuration = next;
	}

	/**
	 * Stores a move that has become final. The move is put at the end of the map, so that
	 * the moves that ended first are removed first.
	 * @param move the move
	 */
	void endMove(MoveState move) {
		this.moves.remove(move.id());
		this.moves.put(move.id(), move);
		if (this.moves.size() <= MAXIMUM_FINAL_MOVES) {
			return;
		}
		long surplus = this.moves.values().stream().filter(this::isRemovable).count() - MAXIMUM_FINAL_MOVES;
		Iterator<MoveState> iterator = this.moves.values().iterator();
		while (surplus > 0) {
			if (isRemovable(iterator.next())) {
				iterator.remove();
				surplus--;
			}
		}
	}

	private boolean isRemovable(MoveState move) {
		return move.status().isFinal() && !move.id().equals(this.requestedMoves.get(move.service()));
	}

	void pack(MessagePacker packer) throws IOException {
		packer.packInt(FORMAT_VERSION);
		packer.packLong(this.appliedIndex);
		packer.packLong(this.latestCommandMillis);
		packer.packLong(this.lastChangeVersion);
		packer.packString(this.lastChangeId);
		packer.packString(this.lastChangeOperator);
		ConfigurationBinding.packConfiguration(this.configuration, packer);
		Fields.packMap(packer, this.documents, (text, target) -> target.packString(text));
		Fields.packList(packer, this.requested.values(), RenderingBinding::packService);
		Fields.packList(packer, this.outcomes.entrySet(), MeshState::packOutcome);
		Fields.packList(packer, this.history, MeshState::packHistory);
		Fields.packList(packer, this.moves.values(), StateBinding::packMove);
		Fields.packMap(packer, this.requestedMoves, (id, target) -> target.packString(id));
		this.declared.pack(packer);
		Fields.packMap(packer, this.currentVersions, (version, target) -> target.packString(version));
		// Programs that know no departures ignore what follows, and write nothing here.
		if (!this.departures.isEmpty()) {
			this.departures.pack(packer);
		}
	}

	static MeshState unpack(MessageUnpacker unpacker) throws IOException {
		int format = unpacker.unpackInt();
		if (format != FORMAT_VERSION) {
			throw new LavenderroadException(
					"snapshot format " + format + " is not supported; the supported format is " + FORMAT_VERSION);
		}
		MeshState state = new MeshState();
		state.appliedIndex = unpacker.unpackLong();
		state.latestCommandMillis = unpacker.unpackLong();
		state.lastChangeVersion = unpacker.unpackLong();
		state.lastChangeId = unpacker.unpackString();
		state.lastChangeOperator = unpacker.unpackString();
		state.configuration = ConfigurationBinding.unpackConfiguration(unpacker);
		state.documents.putAll(Fields.unpackMap(unpacker, MessageUnpacker::unpackString));
		Fields.unpackList(unpacker, RenderingBinding::unpackService)
			.forEach((service) -> state.requested.put(service.name(), service));
		Fields.unpackList(unpacker, (source) -> unpackOutcome(state.outcomes, source));
		state.history.addAll(Fields.unpackList(unpacker, MeshState::unpackHistory));
		Fields.unpackList(unpacker, StateBinding::unpackMove).forEach((move) -> state.moves.put(move.id(), move));
		state.requestedMoves.putAll(Fields.unpackMap(unpacker, MessageUnpacker::unpackString));
		state.declared.unpack(unpacker);
		state.currentVersions.putAll(Fields.unpackMap(unpacker, MessageUnpacker::unpackString));
		if (unpacker.hasNext()) {
			state.departures.unpack(unpacker);
		}
		Fields.checkEnd(unpacker);
		return state;
	}

	private static void packOutcome(Map.Entry<String, StoredOutcome> entry, MessagePacker packer) throws IOException {
		packer.packString(entry.getKey());
		CommandBinding.packOutcome(entry.getValue().outcome(), packer);
		packer.packString(entry.getValue().digest());
		packer.packLong(entry.getValue().atMillis());
	}

	private static String unpackOutcome(Map<String, StoredOutcome> outcomes, MessageUnpacker unpacker)
			throws IOException {
		String id = unpacker.unpackString();
		outcomes.put(id, new StoredOutcome(CommandBinding.unpackOutcome(unpacker), unpacker.unpackString(),
				unpacker.unpackLong()));
		return id;
	}

	private static void packHistory(HistoryEntry entry, MessagePacker packer) throws IOException {
		packer.packLong(entry.version());
		packer.packLong(entry.atMillis());
		packer.packString(entry.kind());
		packer.packString(entry.id());
		packer.packString(entry.operator());
		Fields.packList(packer, entry.lines(), (line, target) -> target.packString(line));
	}

	private static HistoryEntry unpackHistory(MessageUnpacker unpacker) throws IOException {
		return new HistoryEntry(unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackString(),
				unpacker.unpackString(), unpacker.unpackString(),
				Fields.unpackList(unpacker, MessageUnpacker::unpackString));
	}

	SortedMap<String, RenderedService> requestedCopy() {
		return new TreeMap<>(this.requested);
	}

}
