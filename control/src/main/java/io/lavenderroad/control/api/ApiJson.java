package io.lavenderroad.control.api;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;

import com.fasterxml.jackson.jr.ob.JSON;
import io.lavenderroad.control.api.ConvergenceView.Convergence;
import io.lavenderroad.control.api.MemberAdministration.Member;
import io.lavenderroad.control.api.MemberAdministration.MemberStatus;
import io.lavenderroad.control.state.DryRun;
import io.lavenderroad.control.state.HistoryEntry;
import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.core.Problem;
import io.lavenderroad.model.ChangeOutcome;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.MoveParameters;
import io.lavenderroad.model.MoveState;
import io.lavenderroad.model.Route;
import io.lavenderroad.model.ServiceConfiguration;
import io.lavenderroad.model.rendering.Difference;
import io.lavenderroad.model.rendering.ServiceDifference;
import io.lavenderroad.policy.quota.QuotaTimes;
import io.lavenderroad.policy.quota.TeamUse;

/**
 * Encodes the responses of the API as JSON.
 */
final class ApiJson {

	private static final JSON WRITER = JSON.std.with(JSON.Feature.PRETTY_PRINT_OUTPUT);

	private ApiJson() {
	}

	static String refusal(ExecutionVerdict verdict, String reason, List<Problem> problems,
			Optional<String> leaderAddress) {
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("verdict", verdict.label());
		body.put("reason", reason);
		leaderAddress.ifPresent((address) -> body.put("leaderAddress", address));
		if (!problems.isEmpty()) {
			body.put("problems", problems.stream().map(ApiJson::problem).toList());
		}
		return write(body);
	}

	static String outcome(ChangeOutcome outcome) {
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("verdict", (outcome.accepted() ? ExecutionVerdict.RAN : ExecutionVerdict.NOT_RUN).label());
		body.put("changeId", outcome.changeId());
		body.put("accepted", outcome.accepted());
		body.put("version", outcome.version());
		body.put("reason", outcome.reason());
		return write(body);
	}

	static String evacuations(SortedMap<String, Integer> endpointsByDomain) {
		List<Object> domains = new ArrayList<>();
		endpointsByDomain.forEach((failureDomain, count) -> {
			Map<String, Object> item = new LinkedHashMap<>();
			item.put("failureDomain", failureDomain);
			item.put("acceptingEndpoints", count);
			domains.add(item);
		});
		return write(Map.of("evacuations", domains));
	}

	static String evacuation(String failureDomain, boolean evacuated, long version) {
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("verdict", ExecutionVerdict.RAN.label());
		body.put("failureDomain", failureDomain);
		body.put("evacuated", evacuated);
		body.put("version", version);
		return write(body);
	}

	static String dryRun(DryRun dryRun) {
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("baseVersion", dryRun.baseVersion());
		body.put("empty", dryRun.difference().isEmpty());
		body.put("lines", dryRun.difference().lines());
		body.put("notes", dryRun.notes());
		body.put("difference", difference(dryRun.difference()));
		return write(body);
	}

	static String history(List<HistoryEntry> entries) {
		return write(Map.of("history", entries.stream().map(ApiJson::historyEntry).toList()));
	}

	static String configuration(MeshConfiguration configuration, long lastChangeVersion,
			Map<String, String> documents) {
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("version", configuration.version());
		body.put("lastChangeVersion", lastChangeVersion);
		body.put("digest", configuration.digest());
		body.put("services", configuration.services().values().stream().map(ApiJson::service).toList());
		body.put("documents", documents);
		return write(body);
	}

	static String moves(List<MoveState> moves) {
		return write(Map.of("moves", moves.stream().map(ApiJson::moveBody).toList()));
	}

	static String move(MoveState move) {
		return write(moveBody(move));
	}

	static String members(List<Member> members) {
		List<Object> items = new ArrayList<>();
		for (Member member : members) {
			Map<String, Object> item = new LinkedHashMap<>();
			item.put("id", member.id());
			item.put("address", member.address());
			item.put("voter", member.voter());
			item.put("leader", member.leader());
			item.put("replicatedIndex", member.replicatedIndex());
			items.add(item);
		}
		return write(Map.of("members", items));
	}

	static String teams(List<TeamUse> uses) {
		List<Object> items = new ArrayList<>();
		for (TeamUse use : uses) {
			Map<String, Object> item = new LinkedHashMap<>();
			item.put("team", use.team());
			item.put("requestsPerSecond", use.quota().requestsPerSecond());
			item.put("burst", use.quota().burst());
			item.put("grantedInWindow", use.granted());
			item.put("refusedInWindow", use.refused());
			item.put("refusedTotal", use.refusedTotal());
			items.add(item);
		}
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("windowMillis", QuotaTimes.WINDOW_MILLIS);
		body.put("teams", items);
		return write(body);
	}

	static String nodes(long version, Convergence convergence) {
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("version", version);
		putConvergence(body, version, convergence);
		List<Object> lagging = new ArrayList<>();
		convergence.lagging().forEach((node) -> {
			Map<String, Object> item = new LinkedHashMap<>();
			item.put("node", node.nodeId());
			item.put("activeVersion", node.activeVersion());
			item.put("silentMillis", node.silentMillis());
			lagging.add(item);
		});
		body.put("lagging", lagging);
		List<Object> rejected = new ArrayList<>();
		convergence.rejected().forEach((rejection) -> {
			Map<String, Object> item = new LinkedHashMap<>();
			item.put("node", rejection.nodeId());
			item.put("version", rejection.version());
			item.put("reason", rejection.reason());
			rejected.add(item);
		});
		body.put("rejected", rejected);
		return write(body);
	}

	static String status(MemberStatus member, MeshConfiguration configuration, long lastChangeVersion,
			long appliedIndex, List<MoveState> activeMoves, Convergence convergence) {
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("member", member.id());
		body.put("role", member.role());
		body.put("term", member.term());
		body.put("leader", member.leaderId().orElse(""));
		body.put("leaderAddress", member.leaderAddress().orElse(""));
		body.put("committedIndex", member.committedIndex());
		body.put("appliedIndex", appliedIndex);
		body.put("version", configuration.version());
		body.put("lastChangeVersion", lastChangeVersion);
		body.put("services", configuration.services().size());
		putConvergence(body, configuration.version(), convergence);
		body.put("laggingNodes", convergence.lagging().size());
		body.put("rejectedVersions", convergence.rejected().size());
		body.put("activeMoves", activeMoves.stream().map(ApiJson::moveBody).toList());
		return write(body);
	}

	private static void putConvergence(Map<String, Object> body, long version, Convergence convergence) {
		Map<String, Object> byVersion = new LinkedHashMap<>();
		convergence.nodesByVersion().forEach((active, count) -> byVersion.put(String.valueOf(active), count));
		body.put("nodes", convergence.nodes());
		body.put("nodesCurrent", convergence.nodesAtLeast(version));
		body.put("nodesByVersion", byVersion);
	}

	private static Map<String, Object> problem(Problem problem) {
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("source", problem.location().source());
		body.put("line", problem.location().line());
		body.put("column", problem.location().column());
		body.put("key", problem.location().path());
		body.put("found", problem.found());
		body.put("allowed", problem.allowed());
		return body;
	}

	private static Map<String, Object> difference(Difference difference) {
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("servicesAdded", difference.servicesAdded());
		body.put("servicesRemoved", difference.servicesRemoved());
		body.put("servicesModified", difference.servicesModified().stream().map(ApiJson::serviceDifference).toList());
		List<Object> shares = new ArrayList<>();
		difference.sharesChanged().forEach((change) -> {
			Map<String, Object> item = new LinkedHashMap<>();
			item.put("service", change.service());
			item.put("before", change.before());
			item.put("after", change.after());
			shares.add(item);
		});
		body.put("sharesChanged", shares);
		body.put("movesStarted",
				difference.movesStarted().stream().map((move) -> parameters(move.service(), move.move())).toList());
		body.put("movesEnded",
				difference.movesEnded().stream().map((move) -> parameters(move.service(), move.move())).toList());
		return body;
	}

	private static Map<String, Object> serviceDifference(ServiceDifference difference) {
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("service", difference.service());
		body.put("routesAdded", difference.routesAdded());
		body.put("routesRemoved", difference.routesRemoved());
		body.put("routesModified", difference.routesModified());
		body.put("settingsModified", difference.settingsModified());
		return body;
	}

	private static Map<String, Object> historyEntry(HistoryEntry entry) {
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("version", entry.version());
		body.put("atMillis", entry.atMillis());
		body.put("kind", entry.kind());
		body.put("id", entry.id());
		body.put("operator", entry.operator());
		body.put("lines", entry.lines());
		return body;
	}

	private static Map<String, Object> service(ServiceConfiguration service) {
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("name", service.name());
		body.put("team", service.team());
		body.put("openToCallers", service.openToCallers());
		body.put("calls", service.calls());
		body.put("routes", service.routes().stream().map(ApiJson::route).toList());
		body.put("versions", service.versions());
		body.put("split", service.split());
		body.put("queueLength", service.limits().queueLength());
		body.put("customerShareBasisPoints", service.limits().customerShareBasisPoints());
		body.put("retryBudgetBasisPoints", service.limits().retryBudgetBasisPoints());
		service.move().ifPresent((move) -> body.put("move", parameters(service.name(), move)));
		body.put("modifiedVersion", service.modifiedVersion());
		return body;
	}

	private static Map<String, Object> route(Route route) {
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("name", route.name());
		body.put("method", route.method());
		body.put("pathPrefix", route.pathPrefix());
		body.put("idempotent", route.idempotent());
		body.put("timeoutMillis", route.timeoutMillis());
		body.put("largestBodyBytes", route.maximumBodyBytes());
		return body;
	}

	private static Map<String, Object> parameters(String service, MoveParameters move) {
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("id", move.id());
		body.put("service", service);
		body.put("from", move.from());
		body.put("to", move.to());
		body.put("deadlineMillis", move.deadlineMillis());
		body.put("thinEvidence", lowerCase(move.thinEvidence()));
		body.put("policy", move.policy());
		return body;
	}

	private static Map<String, Object> moveBody(MoveState move) {
		Map<String, Object> body = parameters(move.service(), move.parameters());
		body.put("status", lowerCase(move.status()));
		body.put("step", move.step());
		body.put("shareBasisPoints", move.shareBasisPoints());
		body.put("startedMillis", move.startedMillis());
		body.put("stepMillis", move.stepMillis());
		body.put("finishedMillis", move.finishedMillis());
		body.put("reason", move.reason());
		body.put("route", move.route());
		body.put("figures", move.statistics());
		body.put("warnings", move.warnings());
		return body;
	}

	private static String lowerCase(Enum<?> value) {
		return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	private static String write(Map<String, Object> body) {
		try {
			return WRITER.asString(body);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("writing JSON into memory failed", ex);
		}
	}

}
