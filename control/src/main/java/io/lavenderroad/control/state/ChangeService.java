package io.lavenderroad.control.state;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.regex.Pattern;

import io.lavenderroad.control.state.Command.ApplyChange;
import io.lavenderroad.control.state.MeshStateMachine.RenderingBase;
import io.lavenderroad.core.Clock;
import io.lavenderroad.core.Location;
import io.lavenderroad.core.Problem;
import io.lavenderroad.model.Change;
import io.lavenderroad.model.ChangeOutcome;
import io.lavenderroad.model.MoveState;
import io.lavenderroad.model.MoveStatus;
import io.lavenderroad.model.rendering.Difference;
import io.lavenderroad.model.rendering.MeshRenderer;
import io.lavenderroad.model.rendering.RenderedMesh;
import io.lavenderroad.model.rendering.RenderedService;
import io.vavr.collection.Seq;
import io.vavr.control.Either;
import org.tinylog.Logger;

/**
 * Accepts changes of documents at the leader: renders the documents, validates the result
 * and proposes both to the replicated log.
 */
public final class ChangeService {

	/**
	 * Maximum size of an encoded command in bytes. It is half of the default frame limit,
	 * since a command is replicated within one frame.
	 */
	public static final int MAXIMUM_COMMAND_BYTES = 4 * 1024 * 1024;

	/**
	 * Maximum number of times that a change is rendered and proposed. A proposal becomes
	 * stale only if another change is accepted between rendering and commit, which then
	 * also conflicts with the base version. Three attempts cover a change of leader in
	 * between.
	 */
	private static final int MAXIMUM_ATTEMPTS = 3;

	/**
	 * Valid names of operators.
	 */
	public static final Pattern OPERATOR = Pattern.compile("[\\p{L}\\p{N}][\\p{L}\\p{N} .@_-]{0,99}");

	private static final Pattern CHANGE_ID = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,99}");

	private static final Pattern DOCUMENT_NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._/-]{0,199}");

	private final MeshStateMachine stateMachine;

	private final CommandLog log;

	private final ReadConfirmation confirmation;

	private final Predicate<String> knownPolicy;

	private final Clock clock;

	private final Acknowledgement acknowledgement;

	/**
	 * Creates the service.
	 * @param stateMachine state machine of this member
	 * @param log proposes commands to the replicated log
	 * @param confirmation confirms that this member is the leader
	 * @param knownPolicy returns whether a move policy is registered under a name
	 * @param clock source of time
	 * @param acknowledgement delays the acknowledgement until the change is active
	 */
	public ChangeService(MeshStateMachine stateMachine, CommandLog log, ReadConfirmation confirmation,
			Predicate<String> knownPolicy, Clock clock, Acknowledgement acknowledgement) {
		this.stateMachine = stateMachine;
		this.log = log;
		this.confirmation = confirmation;
		this.knownPolicy = knownPolicy;
		this.clock = clock;
		this.acknowledgement = acknowledgement;
	}

	/**
	 * Applies a change. The change id is the idempotency key: a resend gets the first
	 * outcome. Blocks until an accepted change is active on the reachable nodes or the
	 * maximum wait of the acknowledgement has passed.
	 * @param change the change
	 * @return the outcome decided by the state machine, or the reason why there is none
	 */
	public Either<ChangeRefusal, ChangeOutcome> apply(Change change) {
		List<Problem> problems = check(change);
		if (!problems.isEmpty()) {
			return Either.left(ChangeRefusal.invalid(problems));
		}
		for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
			Either<ChangeRefusal, CommandOutcome> outcome = confirmed().flatMap((index) -> propose(change));
			if (outcome.isLeft()) {
				return Either.left(outcome.getLeft());
			}
			if (outcome.get().kind() != CommandOutcome.Kind.STALE) {
				log(change, outcome.get());
				this.acknowledgement.awaitActive(outcome.get());
				return Either.right(MeshStateMachine.toChangeOutcome(change.changeId(), outcome.get()));
			}
		}
		return Either.left(ChangeRefusal.notRun("other changes were accepted at the same time; try again"));
	}

	/**
	 * Computes the effect of a change without applying it.
	 * @param put texts of documents by name
	 * @param removed names of the documents that are removed
	 * @return the difference from the active version, or the reason why there is none
	 */
	public Either<ChangeRefusal, DryRun> diff(SortedMap<String, String> put, List<String> removed) {
		String changeId = "dry-run";
		List<Problem> problems = check(new Change(changeId, 0, changeId, put, removed));
		if (!problems.isEmpty()) {
			return Either.left(ChangeRefusal.invalid(problems));
		}
		return confirmed().flatMap((index) -> {
			RenderingBase base = this.stateMachine.renderingBase();
			return render(base, changeId, put, removed).map((rendered) -> {
				MeshPlan plan = rendered.plan();
				Difference difference = Difference.between(plan.before(), plan.configuration());
				return new DryRun(plan.before().version(), difference, notes(rendered.mesh(), put.keySet()));
			});
		});
	}

	/**
	 * Finds the outcome of a change.
	 * @param changeId id of the change
	 * @return the outcome, empty if no change with this id has run; or the reason why the
	 * outcome might be stale
	 */
	public Either<ChangeRefusal, Optional<ChangeOutcome>> outcome(String changeId) {
		return confirmed().map((index) -> this.stateMachine.outcome(changeId));
	}

	private static void log(Change change, CommandOutcome outcome) {
		if (outcome.applied()) {
			Logger.info("control: change {} by {} was accepted as version {}", change.changeId(), change.operator(),
					outcome.version());
		}
		else {
			Logger.info("control: change {} by {} was refused: {}", change.changeId(), change.operator(),
					outcome.reason());
		}
	}

	private Either<ChangeRefusal, Long> confirmed() {
		return this.confirmation.confirm().mapLeft(ChangeRefusal::of);
	}

	private Either<ChangeRefusal, CommandOutcome> propose(Change change) {
		RenderingBase base = this.stateMachine.renderingBase();
		String digest = digest(change);
		Optional<CommandOutcome> first = this.stateMachine.recordedOutcome(change.changeId(), digest);
		if (first.isPresent()) {
			return Either.right(first.get());
		}
		if (change.baseVersion() < base.lastChangeVersion()) {
			// The change conflicts whatever its documents contain. It is still proposed,
			// without documents, so that the state machine records the outcome.
			Change empty = Change.ofDocuments(change.changeId(), change.baseVersion(), change.operator(), Map.of());
			return propose(new ApplyChange(this.clock.millis(), empty, digest, base.lastChangeVersion(),
					new TreeMap<>(), List.of()));
		}
		if (change.baseVersion() > base.configuration().version()) {
			return Either.left(ChangeRefusal.notRun("base version " + change.baseVersion() + " does not exist; version "
					+ base.configuration().version() + " is in force"));
		}
		return render(base, change.changeId(), change.put(), change.removed())
			.flatMap((rendered) -> propose(new ApplyChange(rendered.atMillis(), change, digest,
					base.lastChangeVersion(), rendered.changed(), rendered.removed())));
	}

	private Either<ChangeRefusal, CommandOutcome> propose(ApplyChange command) {
		byte[] bytes = CommandBinding.toBytes(command);
		if (bytes.length > MAXIMUM_COMMAND_BYTES) {
			return Either.left(ChangeRefusal.notRun("the rendered change takes " + bytes.length + " bytes; at most "
					+ MAXIMUM_COMMAND_BYTES + " are allowed in one change"));
		}
		return this.log.propose(bytes).mapLeft(ChangeRefusal::of).map(CommandBinding::outcomeFromBytes);
	}

	private Either<ChangeRefusal, Rendered> render(RenderingBase base, String changeId, SortedMap<String, String> put,
			List<String> removed) {
		SortedMap<String, String> documents = new TreeMap<>(base.documents());
		List<Problem> problems = new ArrayList<>();
		for (String name : removed) {
			if (documents.remove(name) == null) {
				problems.add(new Problem(Location.of(name), "a document that does not exist",
						"one of " + String.join(", ", base.documents().keySet())));
			}
		}
		documents.putAll(put);
		Either<Seq<Problem>, RenderedMesh> mesh = MeshRenderer.render(documents);
		mesh.peekLeft((found) -> problems.addAll(found.asJava()));
		if (!problems.isEmpty()) {
			return Either.left(ChangeRefusal.invalid(problems));
		}
		SortedMap<String, RenderedService> changed = new TreeMap<>(mesh.get().services());
		changed.entrySet().removeIf((entry) -> entry.getValue().equals(base.requested().get(entry.getKey())));
		List<String> removedServices = base.requested()
			.keySet()
			.stream()
			.filter((name) -> !mesh.get().services().containsKey(name))
			.toList();
		long atMillis = this.clock.millis();
		MeshPlan plan = this.stateMachine.plan(atMillis, changeId, changed, removedServices);
		plan.problems().forEach((problem) -> problems.add(locate(problem, mesh.get())));
		checkPolicies(changed, mesh.get(), problems);
		return problems.isEmpty() ? Either.right(new Rendered(atMillis, mesh.get(), changed, removedServices, plan))
				: Either.left(ChangeRefusal.invalid(problems));
	}

	private void checkPolicies(SortedMap<String, RenderedService> services, RenderedMesh mesh, List<Problem> problems) {
		for (RenderedService service : services.values()) {
			service.move()
				.filter((move) -> !this.knownPolicy.test(move.policy()))
				.ifPresent((move) -> problems.add(locate(new PlanProblem(service.name(), "move.policy",
						"unknown policy '" + move.policy() + "'", "the name of a registered move policy"), mesh)));
		}
	}

	private static Problem locate(PlanProblem problem, RenderedMesh mesh) {
		Location service = mesh.locations().getOrDefault(problem.service(), Location.of("configuration"));
		String path = problem.key().isEmpty() ? service.path() : service.path() + "." + problem.key();
		return new Problem(new Location(service.source(), service.line(), service.column(), path), problem.found(),
				problem.allowed());
	}

	private List<String> notes(RenderedMesh mesh, Set<String> documents) {
		List<String> notes = new ArrayList<>();
		for (MoveState move : this.stateMachine.moves()) {
			boolean stillRequested = Optional.ofNullable(mesh.services().get(move.service()))
				.filter((service) -> documents.contains(mesh.locations().get(service.name()).source()))
				.flatMap(RenderedService::move)
				.filter((request) -> request.to().equals(move.parameters().to()))
				.isPresent();
			if (stillRequested && move.status() == MoveStatus.TAKEN_BACK) {
				notes.add("service " + move.service() + ": version " + move.parameters().to()
						+ " was taken back; a larger attempt tries it again");
			}
		}
		return new ArrayList<>(new TreeSet<>(notes));
	}

	private static List<Problem> check(Change change) {
		List<Problem> problems = new ArrayList<>();
		match(CHANGE_ID, change.changeId(), "changeId", "letters, digits, dots, underscores and hyphens", problems);
		match(OPERATOR, change.operator(), "operator", "a name of at most 100 characters", problems);
		if (change.baseVersion() < 0) {
			problems.add(problem("baseVersion", String.valueOf(change.baseVersion()), "0 or more"));
		}
		if (change.put().isEmpty() && change.removed().isEmpty()) {
			problems.add(problem("put", "no documents", "documents to put or to remove"));
		}
		change.put()
			.keySet()
			.forEach((name) -> match(DOCUMENT_NAME, name, "put", "document names such as template/shop", problems));
		long bytes = MeshRenderer.totalBytes(change.put());
		if (bytes > MeshRenderer.MAXIMUM_DOCUMENT_BYTES) {
			problems.add(problem("put", bytes + " bytes of documents", "at most " + MeshRenderer.MAXIMUM_DOCUMENT_BYTES
					+ " bytes in one change; apply the teams one after the other"));
		}
		change.removed()
			.stream()
			.filter(change.put()::containsKey)
			.forEach((name) -> problems.add(problem("removed", "'" + name + "', which is also put", "either")));
		return problems;
	}

	private static void match(Pattern pattern, String value, String key, String allowed, List<Problem> problems) {
		if (!pattern.matcher(value).matches()) {
			problems.add(problem(key, "'" + value.substring(0, Math.min(value.length(), 60)) + "'", allowed));
		}
	}

	private static Problem problem(String key, String found, String allowed) {
		return new Problem(new Location("change", 0, 0, key), found, allowed);
	}

	private static String digest(Change change) {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			change.put().forEach((name, text) -> {
				digest.update((name + '\0' + text.length() + '\0').getBytes(StandardCharsets.UTF_8));
				digest.update(text.getBytes(StandardCharsets.UTF_8));
			});
			change.removed()
				.stream()
				.sorted()
				.forEach((name) -> digest.update(('-' + name + '\0').getBytes(StandardCharsets.UTF_8)));
			return HexFormat.of().formatHex(digest.digest()).substring(0, 16);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is part of every Java platform", ex);
		}
	}

	/**
	 * Result of rendering the documents against the state of this member.
	 *
	 * @param atMillis time of the rendering, milliseconds since the epoch
	 * @param mesh all services
	 * @param changed rendered services that differ from those of the last accepted change
	 * @param removed names of the services that the documents no longer define
	 * @param plan effect of the change on the mesh
	 */
	private record Rendered(long atMillis, RenderedMesh mesh, SortedMap<String, RenderedService> changed,
			List<String> removed, MeshPlan plan) {

	}

}
