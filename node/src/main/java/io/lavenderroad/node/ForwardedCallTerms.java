package io.lavenderroad.node;

/**
 * Parameters of a call that the node passes to the backend server with the request.
 *
 * @param remainingMillis time until the deadline
 * @param attemptBudget retries that the whole chain of later calls may spend
 * @param callerService service of the node where the request entered the mesh
 * @param backendId id that the backend server announced, empty if it announced none
 * @param team name of the team that made the call, empty if there is none
 */
public record ForwardedCallTerms(long remainingMillis, int attemptBudget, String callerService, String backendId,
		String team) {

}
