package io.lavenderroad.control.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.lavenderroad.control.state.Command.BeginMove;
import io.lavenderroad.control.state.Command.RecordInitialVersion;
import io.lavenderroad.control.state.Command.ReplaceConfiguration;
import io.lavenderroad.control.state.CommandOutcome.Kind;
import io.lavenderroad.model.ConfigurationEdit;
import io.lavenderroad.model.MoveParameters;
import io.lavenderroad.model.MoveState;
import io.lavenderroad.model.MoveStatus;
import io.lavenderroad.model.ServiceConfiguration;
import io.lavenderroad.model.ThinEvidence;

/**
 * State transitions for declared configurations and ordered moves. The caller holds the
 * lock of {@link MeshStateMachine}.
 */
final class DeclarationTransitions {

	/**
	 * Time after the start of a finished move during which an order for the same target
	 * counts as a resend of the same order. Operators stop resending an order after a few
	 * seconds.
	 */
	private static final long RESEND_WINDOW_MILLIS = 10_000;

	/**
	 * An ordered move is planned to end early, by its duration divided by this number,
	 * but at most by {@link #MAXIMUM_RESERVE_MILLIS}.
	 */
	private static final long RESERVE_DIVISOR = 6;

	private static final long MAXIMUM_RESERVE_MILLIS = 3_000;

	private static final String DECLARATION = "declaration";

	private DeclarationTransitions() {
	}

	static CommandOutcome replace(MeshState state, ReplaceConfiguration command) {
		if (state.declared.wasAccepted(command.declaredVersion(), command.digest())) {
			return applied(state);
		}
		if (command.baseDeclaredVersion() != state.declared.version) {
			return refused(state,
					"version " + state.declared.version + " is in force, not " + command.baseDeclaredVersion());
		}
		if (command.declaredVersion() <= state.declared.version) {
			return refused(state, "version " + command.declaredVersion() + " is not above " + state.declared.version);
		}
		List<String> historyLines = historyLines(state, command.edit());
		state.replaceConfiguration(
				state.configuration.next(state.configuration.version() + 1, withVersions(state, command.edit())));
		command.edit().removedServices().forEach((service) -> endMove(state, service, command.atMillis()));
		state.declared.replace(command);
		state.record(new HistoryEntry(state.configuration.version(), command.atMillis(), DECLARATION,
				String.valueOf(command.declaredVersion()), "", historyLines));
		return applied(state);
	}

	static CommandOutcome beginMove(MeshState state, BeginMove command) {
		Optional<ServiceConfiguration> service = state.configuration.service(command.service());
		if (service.isEmpty()) {
			return refused(state, "service " + command.service() + " is unknown");
		}
		String from = state.currentVersions.get(command.service());
		if (from == null) {
			return new CommandOutcome(Kind.STALE, state.configuration.version(),
					"no version of service " + command.service() + " is recorded yet");
		}
		Optional<MoveState> newest = newestMove(state, command.service());
		if (newest.isPresent() && isSameOrder(newest.get(), command)) {
			return applied(state);
		}
		if (newest.isPresent() && !newest.get().status().isFinal()) {
			return refused(state, "move " + newest.get().id() + " is in progress");
		}
		if (from.equals(command.target())) {
			recordFinishedMove(state, from, command);
		}
		else {
			startMove(state, service.get(), from, command);
		}
		return applied(state);
	}

	static CommandOutcome recordInitialVersion(MeshState state, RecordInitialVersion command) {
		Optional<ServiceConfiguration> service = state.configuration.service(command.service());
		if (service.isEmpty() || !service.get().split().isEmpty()) {
			return new CommandOutcome(Kind.STALE, state.configuration.version(),
					"service " + command.service() + " is gone or has a version");
		}
		state.replaceConfiguration(state.configuration.next(state.configuration.version() + 1,
				List.of(withSingleVersion(service.get(), command.version())), List.of()));
		state.currentVersions.put(command.service(), command.version());
		return applied(state);
	}

	static Optional<MoveState> newestMove(MeshState state, String service) {
		return state.moves.values()
			.stream()
			.filter((move) -> move.service().equals(service))
			.reduce((first, second) -> (second.startedMillis() >= first.startedMillis()) ? second : first);
	}

	private static boolean isSameOrder(MoveState newest, BeginMove command) {
		if (!newest.parameters().to().equals(command.target())) {
			return false;
		}
		return !newest.status().isFinal() || command.atMillis() - newest.startedMillis() < RESEND_WINDOW_MILLIS;
	}

	private static void startMove(MeshState state, ServiceConfiguration service, String from, BeginMove command) {
		MoveParameters parameters = parameters(state, from, command);
		ServiceConfiguration next = service.toBuilder()
			.versions(List.of(from, command.target()))
			.split(Map.of(from, ServiceConfiguration.FULL_SHARE_BASIS_POINTS))
			.move(parameters)
			.build();
		state.replaceConfiguration(
				state.configuration.next(state.configuration.version() + 1, List.of(next), List.of()));
		state.moves.put(parameters.id(), MoveState.started(service.name(), parameters, command.atMillis()));
	}

	// Records a move to the version that serves all traffic already. It changes nothing
	// and is finished at once.
	private static void recordFinishedMove(MeshState state, String from, BeginMove command) {
		MoveState started = MoveState.started(command.service(), parameters(state, from, command), command.atMillis());
		state.endMove(MoveTransitions.finished(started, MoveStatus.DONE, command.atMillis(),
				"the version serves all traffic already", "", ""));
	}

	private static MoveParameters parameters(MeshState state, String from, BeginMove command) {
		String id = command.service() + "-" + command.target() + "-" + (state.configuration.version() + 1);
		return new MoveParameters(id, from, command.target(),
				command.atMillis() + command.durationMillis() - reserveMillis(command), ThinEvidence.PROCEED,
				MoveParameters.DEFAULT_POLICY);
	}

	// The duration counts from this command, but the operator may have sent the order
	// earlier: to a member that failed, or to one whose response was lost, so that the
	// order was resent.
	private static long reserveMillis(BeginMove command) {
		return Math.min(MAXIMUM_RESERVE_MILLIS, command.durationMillis() / RESERVE_DIVISOR);
	}

	private static ConfigurationEdit withVersions(MeshState state, ConfigurationEdit edit) {
		List<ServiceConfiguration> services = new ArrayList<>();
		for (ServiceConfiguration service : edit.services()) {
			services.add(withVersions(state, service));
		}
		return new ConfigurationEdit(services, edit.removedServices(), edit.routes(), edit.removedRoutes(),
				edit.limits(), edit.teams(), edit.evacuatedDomains());
	}

	// The leader computed the edit before a step of a move may have changed the split, so
	// only the cold start of a service that exists is taken from the edit.
	private static ServiceConfiguration withVersions(MeshState state, ServiceConfiguration declared) {
		Optional<ServiceConfiguration> active = state.configuration.service(declared.name());
		if (active.isPresent()) {
			return active.get().toBuilder().coldStart(declared.coldStart()).build();
		}
		String version = state.currentVersions.get(declared.name());
		return (version != null) ? withSingleVersion(declared, version) : declared;
	}

	private static ServiceConfiguration withSingleVersion(ServiceConfiguration service, String version) {
		return service.toBuilder()
			.versions(List.of(version))
			.split(Map.of(version, ServiceConfiguration.FULL_SHARE_BASIS_POINTS))
			.build();
	}

	private static void endMove(MeshState state, String service, long atMillis) {
		newestMove(state, service).filter((move) -> !move.status().isFinal())
			.ifPresent((move) -> state.endMove(MoveTransitions.finished(move, MoveStatus.TAKEN_BACK, atMillis,
					"the service was removed", "", "")));
	}

	private static List<String> historyLines(MeshState state, ConfigurationEdit edit) {
		List<String> lines = new ArrayList<>();
		long changed = edit.services()
			.stream()
			.filter((service) -> state.configuration.service(service.name()).isPresent())
			.count();
		lines.add(edit.routes().size() + " routes changed, " + edit.removedRoutes().size() + " removed, "
				+ (edit.services().size() - changed) + " services added, " + edit.removedServices().size()
				+ " removed");
		if (changed > 0) {
			lines.add("cold start of " + changed + " services changed");
		}
		if (!edit.teams().isEmpty()) {
			lines.add(edit.teams().changed().size() + " teams changed, " + edit.teams().removed().size() + " removed");
		}
		return lines;
	}

	private static CommandOutcome applied(MeshState state) {
		return new CommandOutcome(Kind.APPLIED, state.configuration.version(), "");
	}

	private static CommandOutcome refused(MeshState state, String reason) {
		return new CommandOutcome(Kind.REFUSED, state.configuration.version(), reason);
	}

}
