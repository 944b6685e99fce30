package io.lavenderroad.control.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;

import io.lavenderroad.control.state.ServicePlanner.PlannedService;
import io.lavenderroad.control.state.ServicePlanner.ServiceBefore;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.MoveState;
import io.lavenderroad.model.ServiceConfiguration;
import io.lavenderroad.model.rendering.RenderedService;

/**
 * Effect of a change on the whole mesh.
 *
 * @param before configuration before the change
 * @param configuration configuration after the change
 * @param endedMoves moves that the change ends
 * @param moves moves that the change starts or whose parameters it replaces
 * @param problems reasons why the change is not allowed; empty if it is allowed
 */
record MeshPlan(MeshConfiguration before, MeshConfiguration configuration, List<MoveState> endedMoves,
		List<MoveState> moves, List<PlanProblem> problems) {

	/**
	 * Plans a change.
	 * @param state state before the change
	 * @param planner planner for the change
	 * @param services rendered services that differ from those of the last accepted
	 * change
	 * @param removed names of the services that the documents no longer define
	 * @return the plan
	 */
	static MeshPlan of(MeshState state, ServicePlanner planner, SortedMap<String, RenderedService> services,
			List<String> removed) {
		List<ServiceConfiguration> changed = new ArrayList<>();
		List<MoveState> ended = new ArrayList<>();
		List<MoveState> moves = new ArrayList<>();
		List<PlanProblem> problems = new ArrayList<>();
		for (Map.Entry<String, RenderedService> entry : services.entrySet()) {
			Optional<ServiceBefore> before = state.before(entry.getKey());
			planner.plan(before, entry.getValue()).peekLeft(problems::add).peek((planned) -> {
				planned.ended().ifPresent(ended::add);
				planned.move().ifPresent(moves::add);
				if (differs(before, planned)) {
					changed.add(planned.configuration());
				}
			});
		}
		for (String name : removed) {
			state.before(name).flatMap(planner::remove).ifPresent(ended::add);
		}
		MeshConfiguration next = state.configuration.next(state.configuration.version() + 1, changed, removed);
		next.missingResources()
			.forEach((missing) -> problems.add(new PlanProblem("", "", missing, "resources that exist")));
		next.services().values().forEach((service) -> checkCalls(service, next, problems));
		return new MeshPlan(state.configuration, next, ended, moves, problems);
	}

	private static void checkCalls(ServiceConfiguration service, MeshConfiguration mesh, List<PlanProblem> problems) {
		for (String call : service.calls()) {
			if (mesh.service(call).isEmpty()) {
				problems.add(new PlanProblem(service.name(), "calls", "the unknown service '" + call + "'",
						"services that exist"));
			}
		}
	}

	private static boolean differs(Optional<ServiceBefore> before, PlannedService planned) {
		if (before.isEmpty()) {
			return true;
		}
		ServiceConfiguration current = before.get().configuration();
		return !planned.configuration().toBuilder().modifiedVersion(current.modifiedVersion()).build().equals(current);
	}

}
