package io.lavenderroad.control.state;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import io.lavenderroad.control.state.Command.ApplyChange;
import io.lavenderroad.control.state.Command.BeginMove;
import io.lavenderroad.control.state.Command.FinishMove;
import io.lavenderroad.control.state.Command.KeepDeparture;
import io.lavenderroad.control.state.Command.RecordInitialVersion;
import io.lavenderroad.control.state.Command.RecordMoveWarning;
import io.lavenderroad.control.state.Command.ReplaceConfiguration;
import io.lavenderroad.control.state.Command.SetEvacuation;
import io.lavenderroad.control.state.Command.StepMove;
import io.lavenderroad.control.state.Command.WithdrawMove;
import io.lavenderroad.control.state.CommandOutcome.Kind;
import io.lavenderroad.control.state.DeclarationService.CurrentDeclaration;
import io.lavenderroad.core.LavenderroadException;
import io.lavenderroad.core.wire.Fields;
import io.lavenderroad.model.Change;
import io.lavenderroad.model.ChangeOutcome;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.MoveState;
import io.lavenderroad.model.MoveStatus;
import io.lavenderroad.model.ServiceConfiguration;
import io.lavenderroad.model.binding.ConfigurationBinding;
import io.lavenderroad.model.departure.Departure;
import io.lavenderroad.model.rendering.Difference;
import io.lavenderroad.model.rendering.ParameterType;
import io.lavenderroad.model.rendering.RenderedService;
import org.msgpack.core.MessagePackException;
import org.tinylog.Logger;

/**
 * Deterministic, replicated state machine of the mesh. The same commands in the same
 * order produce the same state and the same outcomes at every member.
 */
public final class MeshStateMachine {

	private static final String CHANGE = "change";

	private static final String MOVE = "move";

	/**
	 * Guards {@link #state}. Held while a command is applied, a snapshot is taken or the
	 * state is read; listeners are called without it.
	 */
	private final ReentrantLock lock = new ReentrantLock();

	private final List<Consumer<MeshConfiguration>> listeners = new CopyOnWriteArrayList<>();

	private MeshState state = new MeshState();

	/**
	 * Adds a listener for new configurations.
	 * @param listener called after each command or snapshot that changed the mesh
	 * version, on the thread that applied it; must not block
	 */
	public void onConfiguration(Consumer<MeshConfiguration> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Applies a committed command.
	 * @param index index of the log entry, above that of every entry applied before
	 * @param command the encoded command
	 * @return the encoded {@link CommandOutcome}
	 * @throws IllegalArgumentException if the index is not above that of the last applied
	 * entry
	 */
	public byte[] apply(long index, byte[] command) {
		MeshConfiguration before;
		MeshConfiguration after;
		CommandOutcome outcome;
		this.lock.lock();
		try {
			if (index <= this.state.appliedIndex) {
				throw new IllegalArgumentException("entry " + index + " was already applied; the last applied entry is "
						+ this.state.appliedIndex);
			}
			before = this.state.configuration;
			outcome = applyLocked(command);
			this.state.appliedIndex = index;
			after = this.state.configuration;
		}
		finally {
			this.lock.unlock();
		}
		notifyListeners(before, after);
		return CommandBinding.outcomeToBytes(outcome);
	}

	/**
	 * Encodes a snapshot of the state.
	 * @return the encoded state, equal at every member that applied the same commands
	 */
	public byte[] snapshot() {
		return read(() -> ConfigurationBinding.toBytes(this.state, MeshState::pack));
	}

	/**
	 * Replaces the state by a snapshot. If the snapshot is malformed, the state is
	 * unchanged.
	 * @param snapshot the encoded state
	 * @throws LavenderroadException if the snapshot is malformed or of an unknown format
	 */
	public void restore(byte[] snapshot) {
		MeshState restored;
		try {
			restored = MeshState.unpack(Fields.unpacker(snapshot));
		}
		catch (IOException | MessagePackException | IllegalArgumentException | NullPointerException ex) {
			throw new LavenderroadException("malformed snapshot of " + snapshot.length + " bytes: " + ex, ex);
		}
		MeshConfiguration before;
		this.lock.lock();
		try {
			before = this.state.configuration;
			this.state = restored;
		}
		finally {
			this.lock.unlock();
		}
		notifyListeners(before, restored.configuration);
	}

	/**
	 * Returns the index of the last applied entry.
	 * @return the index, or 0 before the first
	 */
	public long appliedIndex() {
		return read(() -> this.state.appliedIndex);
	}

	/**
	 * Returns the active configuration.
	 * @return the configuration
	 */
	public MeshConfiguration configuration() {
		return read(() -> this.state.configuration);
	}

	/**
	 * Returns the mesh version of the last accepted change of documents.
	 * @return the version, or 0 before the first change
	 */
	public long lastChangeVersion() {
		return read(() -> this.state.lastChangeVersion);
	}

	/**
	 * Returns the documents.
	 * @return texts by name, a copy
	 */
	public SortedMap<String, String> documents() {
		return read(() -> new TreeMap<>(this.state.documents));
	}

	/**
	 * Returns the recorded outcome of a change.
	 * @param changeId id of the change
	 * @return the outcome, or empty if none is recorded for the change
	 */
	public Optional<ChangeOutcome> outcome(String changeId) {
		return read(() -> Optional.ofNullable(this.state.outcomes.get(changeId))
			.map((stored) -> toChangeOutcome(changeId, stored.outcome())));
	}

	/**
	 * Returns the recorded outcome of a change that is resent.
	 * @param changeId id of the change
	 * @param digest digest of the content of the change
	 * @return the outcome, a refusal if the change id was used with other content, or
	 * empty if no outcome is recorded for the change
	 */
	Optional<CommandOutcome> recordedOutcome(String changeId, String digest) {
		return read(() -> recordedOutcomeLocked(changeId, digest));
	}

	/**
	 * Returns the number of recorded outcomes, which are kept for resends.
	 * @return the number
	 */
	public int outcomeCount() {
		return read(() -> this.state.outcomes.size());
	}

	/**
	 * Returns the departures that are kept for a VM.
	 * @param nodeId id of the node on the VM
	 * @return the departures, oldest first
	 */
	public List<Departure> departures(String nodeId) {
		return read(() -> this.state.departures.of(nodeId));
	}

	/**
	 * Returns the number of VMs for which departures are kept.
	 * @return the number
	 */
	public int vmsWithDepartures() {
		return read(() -> this.state.departures.size());
	}

	/**
	 * Returns the latest events.
	 * @param maximum maximum number of events
	 * @return the events, newest first
	 */
	public List<HistoryEntry> history(int maximum) {
		return read(() -> {
			List<HistoryEntry> entries = new ArrayList<>();
			Iterator<HistoryEntry> newest = this.state.history.descendingIterator();
			while (newest.hasNext() && entries.size() < maximum) {
				entries.add(newest.next());
			}
			return entries;
		});
	}

	/**
	 * Returns the moves.
	 * @return active and final moves in the order of their start or end
	 */
	public List<MoveState> moves() {
		return read(() -> List.copyOf(this.state.moves.values()));
	}

	/**
	 * Returns the moves whose status is not final.
	 * @return the moves
	 */
	public List<MoveState> activeMoves() {
		return read(() -> this.state.moves.values().stream().filter((move) -> !move.status().isFinal()).toList());
	}

	/**
	 * Returns all active moves and the final ones that ended last.
	 * @param maximumFinal maximum number of final moves
	 * @return the moves in the order of their start or end
	 */
	public List<MoveState> moves(int maximumFinal) {
		List<MoveState> selected = new ArrayList<>();
		int finalMoves = 0;
		for (MoveState move : moves().reversed()) {
			finalMoves += move.status().isFinal() ? 1 : 0;
			if (!move.status().isFinal() || finalMoves <= maximumFinal) {
				selected.add(move);
			}
		}
		return selected.reversed();
	}

	/**
	 * Finds a move.
	 * @param id id of the move
	 * @return the move
	 */
	public Optional<MoveState> move(String id) {
		return read(() -> Optional.ofNullable(this.state.moves.get(id)));
	}

	/**
	 * Returns whether a declaration was accepted before.
	 * @param declaredVersion version that the operator chose
	 * @param digest digest of the declaration
	 * @return true if exactly this declaration was accepted
	 */
	boolean wasDeclarationAccepted(long declaredVersion, String digest) {
		return read(() -> this.state.declared.wasAccepted(declaredVersion, digest));
	}

	/**
	 * Returns the declared configuration.
	 * @return a consistent copy
	 */
	CurrentDeclaration currentDeclaration() {
		return read(() -> new CurrentDeclaration(this.state.declared.version, new TreeMap<>(this.state.declared.parts),
				this.state.configuration));
	}

	/**
	 * Returns the move of a service that was started last.
	 * @param service name of the service
	 * @return the move
	 */
	Optional<MoveState> newestMove(String service) {
		return read(() -> DeclarationTransitions.newestMove(this.state, service));
	}

	/**
	 * Returns the declared services whose version is not recorded yet.
	 * @return their names
	 */
	public List<String> servicesWithoutVersion() {
		return read(() -> this.state.configuration.services()
			.values()
			.stream()
			.filter((service) -> service.split().isEmpty())
			.map(ServiceConfiguration::name)
			.toList());
	}

	/**
	 * Returns the state that a change is rendered against.
	 * @return a consistent copy
	 */
	RenderingBase renderingBase() {
		return read(() -> new RenderingBase(this.state.configuration, this.state.lastChangeVersion,
				new TreeMap<>(this.state.documents), this.state.requestedCopy()));
	}

	/**
	 * Plans a change without applying it.
	 * @param atMillis time of the change, milliseconds since the epoch
	 * @param changeId id of the change
	 * @param services rendered services that differ from those of the last accepted
	 * change
	 * @param removed names of the services that the documents no longer define
	 * @return the plan
	 */
	MeshPlan plan(long atMillis, String changeId, SortedMap<String, RenderedService> services, List<String> removed) {
		return read(() -> planLocked(atMillis, changeId, services, removed));
	}

	static ChangeOutcome toChangeOutcome(String changeId, CommandOutcome outcome) {
		return new ChangeOutcome(changeId, outcome.applied(), outcome.version(), outcome.reason());
	}

	private CommandOutcome applyLocked(byte[] bytes) {
		Command command;
		try {
			command = CommandBinding.fromBytes(bytes);
		}
		catch (LavenderroadException ex) {
			// Every member refuses the same malformed bytes, so the members keep equal
			// states.
			return refused(ex.getMessage());
		}
		this.state.latestCommandMillis = Math.max(this.state.latestCommandMillis, command.atMillis());
		try {
			return applyCommand(command);
		}
		catch (IncompleteConfigurationException ex) {
			Logger.error("control: Refused command {}: {}.", command.getClass().getSimpleName(), ex.getMessage());
			return refused(ex.getMessage());
		}
	}

	private CommandOutcome applyCommand(Command command) {
		return switch (command) {
			case ApplyChange apply -> applyChange(apply);
			case StepMove step -> applyStep(step);
			case WithdrawMove withdraw -> applyWithdrawal(withdraw);
			case FinishMove finish -> applyFinish(finish);
			case RecordMoveWarning warn -> applyWarning(warn);
			case ReplaceConfiguration replace -> DeclarationTransitions.replace(this.state, replace);
			case BeginMove begin -> DeclarationTransitions.beginMove(this.state, begin);
			case RecordInitialVersion initial -> DeclarationTransitions.recordInitialVersion(this.state, initial);
			case SetEvacuation order -> EvacuationTransitions.apply(this.state, order);
			case KeepDeparture keep -> {
				this.state.departures.add(keep.nodeId(), keep.departure());
				yield new CommandOutcome(Kind.APPLIED, version(), "");
			}
		};
	}

	private CommandOutcome applyChange(ApplyChange apply) {
		Change change = apply.change();
		Optional<CommandOutcome> first = recordedOutcomeLocked(change.changeId(), apply.digest());
		if (first.isPresent()) {
			return first.get();
		}
		if (change.baseVersion() >= this.state.lastChangeVersion
				&& apply.renderedLastChangeVersion() != this.state.lastChangeVersion) {
			return new CommandOutcome(Kind.STALE, version(), "another change was accepted since it was rendered");
		}
		CommandOutcome outcome = runChange(apply);
		this.state.storeOutcome(change.changeId(),
				new StoredOutcome(outcome, apply.digest(), this.state.latestCommandMillis));
		return outcome;
	}

	private Optional<CommandOutcome> recordedOutcomeLocked(String changeId, String digest) {
		return Optional.ofNullable(this.state.outcomes.get(changeId))
			.map((first) -> first.digest().equals(digest) ? first.outcome() : refused("change id " + changeId
					+ " was used for a change with other content; its outcome was: " + describe(first.outcome())));
	}

	private CommandOutcome runChange(ApplyChange apply) {
		Change change = apply.change();
		if (change.baseVersion() > version()) {
			return refused(
					"base version " + change.baseVersion() + " does not exist; version " + version() + " is in force");
		}
		if (change.baseVersion() < this.state.lastChangeVersion) {
			return refused("conflict: change " + this.state.lastChangeId + " of " + this.state.lastChangeOperator
					+ " made version " + this.state.lastChangeVersion + " after base version " + change.baseVersion());
		}
		if (change.put().isEmpty() && change.removed().isEmpty()) {
			return refused("the change holds no documents");
		}
		if (changesNothing(change)) {
			return new CommandOutcome(Kind.APPLIED, version(), "");
		}
		MeshPlan plan = planLocked(apply.atMillis(), change.changeId(), apply.services(), apply.removedServices());
		if (!plan.problems().isEmpty()) {
			return refused(plan.problems().stream().map(PlanProblem::toString).collect(Collectors.joining("; ")));
		}
		applyPlan(apply, plan);
		return new CommandOutcome(Kind.APPLIED, version(), "");
	}

	private void applyPlan(ApplyChange apply, MeshPlan plan) {
		Change change = apply.change();
		Difference difference = Difference.between(this.state.configuration, plan.configuration());
		this.state.replaceConfiguration(plan.configuration());
		change.removed().forEach(this.state.documents::remove);
		this.state.documents.putAll(change.put());
		apply.removedServices().forEach(this.state.requested::remove);
		this.state.requested.putAll(apply.services());
		this.state.lastChangeVersion = version();
		this.state.lastChangeId = change.changeId();
		this.state.lastChangeOperator = change.operator();
		apply.removedServices().forEach(this.state.requestedMoves::remove);
		apply.services()
			.values()
			.stream()
			.filter((service) -> service.move().isEmpty())
			.forEach((service) -> this.state.requestedMoves.remove(service.name()));
		for (MoveState move : plan.moves()) {
			this.state.requestedMoves.put(move.service(), move.id());
			this.state.moves.put(move.id(), move);
		}
		plan.endedMoves().forEach(this.state::endMove);
		this.state.record(new HistoryEntry(version(), apply.atMillis(), CHANGE, change.changeId(), change.operator(),
				difference.lines()));
		plan.endedMoves().forEach((move) -> recordMove(move, change.operator(), describe(move)));
	}

	private CommandOutcome applyStep(StepMove step) {
		Optional<CommandOutcome> preconditionFailure = preconditionFailure(step.moveId(), step.expectedStep());
		if (preconditionFailure.isPresent()) {
			return preconditionFailure.get();
		}
		MoveState move = this.state.moves.get(step.moveId());
		if (step.shareBasisPoints() < 0 || step.shareBasisPoints() > ServiceConfiguration.FULL_SHARE_BASIS_POINTS) {
			return refused("share " + step.shareBasisPoints() + " is not between 0 and 10000");
		}
		MoveState next = MoveTransitions.stepped(move, step.shareBasisPoints(), step.rampComplete(), step.atMillis(),
				step.reason());
		updateSplit(next);
		this.state.moves.put(next.id(), next);
		recordMove(next, "", next.parameters().to() + " gets " + ParameterType.percent(next.shareBasisPoints()) + ": "
				+ step.reason());
		return new CommandOutcome(Kind.APPLIED, version(), "");
	}

	private CommandOutcome applyWithdrawal(WithdrawMove withdraw) {
		Optional<CommandOutcome> preconditionFailure = preconditionFailure(withdraw.moveId(), withdraw.expectedStep());
		if (preconditionFailure.isPresent()) {
			return preconditionFailure.get();
		}
		MoveState next = MoveTransitions.finished(this.state.moves.get(withdraw.moveId()), MoveStatus.TAKEN_BACK,
				withdraw.atMillis(), withdraw.reason(), withdraw.route(), withdraw.statistics());
		return finish(next, withdraw.operator());
	}

	private CommandOutcome applyFinish(FinishMove finish) {
		Optional<CommandOutcome> preconditionFailure = preconditionFailure(finish.moveId(), finish.expectedStep());
		if (preconditionFailure.isPresent()) {
			return preconditionFailure.get();
		}
		MoveState move = this.state.moves.get(finish.moveId());
		if (move.status() != MoveStatus.WATCHING) {
			return refused("move " + move.id() + " has only " + ParameterType.percent(move.shareBasisPoints())
					+ " of the traffic");
		}
		return finish(MoveTransitions.finished(move, MoveStatus.DONE, finish.atMillis(), finish.reason(), "",
				finish.statistics()), "");
	}

	private CommandOutcome finish(MoveState move, String operator) {
		updateSplit(move);
		this.state.endMove(move);
		if (move.status() == MoveStatus.DONE && this.state.currentVersions.containsKey(move.service())) {
			this.state.currentVersions.put(move.service(), move.parameters().to());
		}
		recordMove(move, operator, describe(move));
		return new CommandOutcome(Kind.APPLIED, version(), "");
	}

	private CommandOutcome applyWarning(RecordMoveWarning warn) {
		Optional<CommandOutcome> preconditionFailure = preconditionFailure(warn.moveId(), warn.expectedStep());
		if (preconditionFailure.isPresent()) {
			return preconditionFailure.get();
		}
		MoveState move = this.state.moves.get(warn.moveId());
		if (move.warnings().contains(warn.warning())) {
			return new CommandOutcome(Kind.STALE, version(), "the warning is recorded already");
		}
		if (move.warnings().size() >= MoveTransitions.MAXIMUM_WARNINGS) {
			return refused("move " + move.id() + " has " + MoveTransitions.MAXIMUM_WARNINGS + " warnings already");
		}
		this.state.moves.put(move.id(), MoveTransitions.warned(move, warn.warning()));
		recordMove(move, "", "warning: " + warn.warning());
		return new CommandOutcome(Kind.APPLIED, version(), "");
	}

	private Optional<CommandOutcome> preconditionFailure(String moveId, int expectedStep) {
		MoveState move = this.state.moves.get(moveId);
		if (move == null) {
			return Optional.of(refused("move " + moveId + " is unknown"));
		}
		if (move.status().isFinal()) {
			return Optional.of(refused("move " + moveId + " is final: " + describe(move)));
		}
		if (expectedStep != Command.ANY_STEP && expectedStep != move.step()) {
			return Optional.of(new CommandOutcome(Kind.STALE, version(),
					"move " + moveId + " is at step " + move.step() + ", not at " + expectedStep));
		}
		return Optional.empty();
	}

	private void updateSplit(MoveState move) {
		ServiceConfiguration service = this.state.configuration.service(move.service()).orElseThrow();
		Map<String, Integer> split = new TreeMap<>();
		int share = move.shareBasisPoints();
		if (share < ServiceConfiguration.FULL_SHARE_BASIS_POINTS) {
			split.put(move.parameters().from(), ServiceConfiguration.FULL_SHARE_BASIS_POINTS - share);
		}
		if (share > 0) {
			split.put(move.parameters().to(), share);
		}
		ServiceConfiguration next = service.toBuilder()
			.split(split)
			.move(move.status().isFinal() ? null : move.parameters())
			.build();
		this.state
			.replaceConfiguration(this.state.configuration.next(version() + 1, List.of(next), Collections.emptyList()));
	}

	private MeshPlan planLocked(long atMillis, String changeId, SortedMap<String, RenderedService> services,
			List<String> removed) {
		return MeshPlan.of(this.state, new ServicePlanner(changeId, version() + 1, atMillis), services, removed);
	}

	private boolean changesNothing(Change change) {
		boolean samePut = change.put()
			.entrySet()
			.stream()
			.allMatch((entry) -> entry.getValue().equals(this.state.documents.get(entry.getKey())));
		return samePut && change.removed().stream().noneMatch(this.state.documents::containsKey);
	}

	private void recordMove(MoveState move, String operator, String line) {
		this.state.record(
				new HistoryEntry(version(), this.state.latestCommandMillis, MOVE, move.id(), operator, List.of(line)));
	}

	private CommandOutcome refused(String reason) {
		return new CommandOutcome(Kind.REFUSED, version(), reason);
	}

	private long version() {
		return this.state.configuration.version();
	}

	private static String describe(CommandOutcome outcome) {
		return outcome.applied() ? "accepted as version " + outcome.version() : outcome.reason();
	}

	private static String describe(MoveState move) {
		StringBuilder text = new StringBuilder((move.status() == MoveStatus.DONE) ? "done: " : "taken back: ");
		text.append(move.reason());
		if (!move.route().isEmpty()) {
			text.append("; route ").append(move.route());
		}
		if (!move.statistics().isEmpty()) {
			text.append("; ").append(move.statistics());
		}
		return text.toString();
	}

	private void notifyListeners(MeshConfiguration before, MeshConfiguration after) {
		if (before.version() != after.version()) {
			this.listeners.forEach((listener) -> listener.accept(after));
		}
	}

	private <T> T read(Supplier<T> reader) {
		this.lock.lock();
		try {
			return reader.get();
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * State that a change is rendered against.
	 *
	 * @param configuration the active configuration
	 * @param lastChangeVersion version of the last accepted change
	 * @param documents texts of the documents by name
	 * @param requested rendered services by name
	 */
	record RenderingBase(MeshConfiguration configuration, long lastChangeVersion, SortedMap<String, String> documents,
			SortedMap<String, RenderedService> requested) {

	}

}
