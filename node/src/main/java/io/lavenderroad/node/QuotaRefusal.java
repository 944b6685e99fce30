package io.lavenderroad.node;

/**
 * Refusal of a request because of the quota of its team. The request has not run.
 *
 * @param status HTTP status: 429 beyond the quota, 503 if no leader can be reached
 * @param reason reason for the caller
 * @param retryAfterMillis time after which the team has quota again, milliseconds
 */
public record QuotaRefusal(int status, String reason, long retryAfterMillis) {

}
