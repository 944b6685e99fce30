package io.lavenderroad.node;

/**
 * What a backend server is told about a request.
 *
 * @param remainingMillis time until the answer is due
 * @param attemptBudget retries that the whole remaining chain of calls may spend
 * @param callerService service beside the node where the request entered
 * @param backendId id that the backend server announced, empty if it announced none
 */
public record BackendTerms(long remainingMillis, int attemptBudget, String callerService, String backendId) {

}
