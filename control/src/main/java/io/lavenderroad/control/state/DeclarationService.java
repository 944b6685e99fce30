package io.lavenderroad.control.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;

import io.lavenderroad.control.state.Command.ReplaceConfiguration;
import io.lavenderroad.core.Clock;
import io.lavenderroad.core.Problem;
import io.lavenderroad.model.ConfigurationEdit;
import io.lavenderroad.model.HostRoute;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.ServiceConfiguration;
import io.lavenderroad.model.TeamEdit;
import io.vavr.control.Either;
import org.tinylog.Logger;

/**
 * Accepts declared configurations at the leader. Only the difference from the base
 * version is written to the replicated log, so that a small change to a configuration
 * with many routes stays a small entry.
 */
public final class DeclarationService {

	private final MeshStateMachine stateMachine;

	private final CommandLog log;

	private final ReadConfirmation confirmation;

	private final Clock clock;

	private final Acknowledgement acknowledgement;

	/**
	 * Creates the service.
	 * @param stateMachine state machine of this member
	 * @param log proposes commands to the replicated log
	 * @param confirmation confirms that this member is the leader
	 * @param clock source of time
	 * @param acknowledgement delays the acknowledgement until the configuration is active
	 */
	public DeclarationService(MeshStateMachine stateMachine, CommandLog log, ReadConfirmation confirmation, Clock clock,
			Acknowledgement acknowledgement) {
		this.stateMachine = stateMachine;
		this.log = log;
		this.confirmation = confirmation;
		this.clock = clock;
		this.acknowledgement = acknowledgement;
	}

	/**
	 * Replaces the declared configuration. A resend of an accepted declaration is
	 * acknowledged again. Blocks until an accepted declaration is active on the reachable
	 * nodes or the maximum wait of the acknowledgement has passed.
	 * @param declared the declaration
	 * @return the outcome of the state machine, or the reason why there is none; if the
	 * declaration is invalid, the refusal lists the problems
	 */
	public Either<ChangeRefusal, CommandOutcome> replace(DeclaredConfiguration declared) {
		return accept(declared).map(this.acknowledgement::awaitActive);
	}

	private Either<ChangeRefusal, CommandOutcome> accept(DeclaredConfiguration declared) {
		Either<ChangeRefusal, Long> confirmed = this.confirmation.confirm().mapLeft(ChangeRefusal::of);
		if (confirmed.isLeft()) {
			return Either.left(confirmed.getLeft());
		}
		CurrentDeclaration base = this.stateMachine.currentDeclaration();
		if (this.stateMachine.wasDeclarationAccepted(declared.version(), declared.digest())) {
			return Either.right(new CommandOutcome(CommandOutcome.Kind.APPLIED, base.configuration().version(), ""));
		}
		List<Problem> problems = DeclarationValidator.problems(declared);
		if (!problems.isEmpty()) {
			log(declared, "rejected, " + problems.size() + " problems, first: " + problems.getFirst());
			return Either.left(ChangeRefusal.invalid(problems));
		}
		if (declared.baseVersion() != base.declaredVersion()) {
			String reason = "version " + base.declaredVersion() + " is in force, not " + declared.baseVersion();
			log(declared, "refused: " + reason);
			return Either
				.right(new CommandOutcome(CommandOutcome.Kind.REFUSED, base.configuration().version(), reason));
		}
		Either<ChangeRefusal, CommandOutcome> outcome = propose(declared, base);
		log(declared, outcome.fold((refusal) -> "no outcome: " + refusal.reason(),
				(known) -> known.applied() ? "accepted as mesh version " + known.version() : known.reason()));
		return outcome;
	}

	/**
	 * Reads the declared configuration.
	 * @return the declared version and its parts, or the reason why they might be stale
	 */
	public Either<ChangeRefusal, CurrentDeclaration> read() {
		return this.confirmation.confirm()
			.mapLeft(ChangeRefusal::of)
			.map((index) -> this.stateMachine.currentDeclaration());
	}

	private Either<ChangeRefusal, CommandOutcome> propose(DeclaredConfiguration declared, CurrentDeclaration base) {
		SortedMap<String, String> changed = new TreeMap<>(declared.parts());
		changed.entrySet().removeIf((entry) -> entry.getValue().equals(base.parts().get(entry.getKey())));
		List<String> removed = base.parts()
			.keySet()
			.stream()
			.filter((name) -> !declared.parts().containsKey(name))
			.toList();
		ReplaceConfiguration command = new ReplaceConfiguration(this.clock.millis(), declared.version(),
				declared.baseVersion(), declared.digest(), edit(declared, base.configuration()), changed, removed);
		return this.log.propose(CommandBinding.toBytes(command))
			.mapLeft(ChangeRefusal::of)
			.map(CommandBinding::outcomeFromBytes);
	}

	private static ConfigurationEdit edit(DeclaredConfiguration declared, MeshConfiguration current) {
		List<ServiceConfiguration> services = new ArrayList<>();
		declared.services().forEach((name, coldStart) -> {
			ServiceConfiguration before = current.service(name)
				.orElseGet(() -> ServiceConfiguration.builder(name).openToCallers(true).build());
			ServiceConfiguration next = before.toBuilder().coldStart(coldStart.toColdStart()).build();
			if (current.service(name).isEmpty() || !next.coldStart().equals(before.coldStart())) {
				services.add(next);
			}
		});
		List<String> removedServices = current.services()
			.keySet()
			.stream()
			.filter((name) -> !declared.services().containsKey(name))
			.toList();
		Map<String, HostRoute> before = current.routes()
			.all()
			.stream()
			.collect(Collectors.toMap(HostRoute::name, (route) -> route));
		List<HostRoute> routes = declared.routes()
			.stream()
			.filter((route) -> !before.containsKey(route.name())
					|| !before.get(route.name()).equalsIgnoringVersion(route))
			.toList();
		Set<String> names = declared.routes().stream().map(HostRoute::name).collect(Collectors.toSet());
		List<String> removedRoutes = before.keySet().stream().filter((name) -> !names.contains(name)).sorted().toList();
		TeamEdit teams = current.teams().editTo(declared.teams().stream().map(DeclaredTeam::toTeam).toList());
		return new ConfigurationEdit(services, removedServices, routes, removedRoutes, Optional.of(declared.limits()),
				teams, Optional.empty());
	}

	private static void log(DeclaredConfiguration declared, String outcome) {
		Logger.info("control: Declared configuration {} with base version {}, {} routes and {} teams: {}.",
				declared.version(), declared.baseVersion(), declared.routes().size(), declared.teams().size(), outcome);
	}

	/**
	 * Consistent copy of the declared configuration at one point in time.
	 *
	 * @param declaredVersion version chosen by the operator, 0 before the first
	 * declaration
	 * @param parts text of each part
	 * @param configuration the active mesh configuration
	 */
	public record CurrentDeclaration(long declaredVersion, SortedMap<String, String> parts,
			MeshConfiguration configuration) {

	}

}
