package io.lavenderroad.node;

import java.util.Objects;

/**
 * Refusal of a request because of the quota of its team.
 *
 * @param status 429 if the team is over its quota, 503 if the quota is not known
 * @param reason short reason for logs and the answer; it names no key
 * @param retryAfterMillis delay before a retry, above 0
 */
public record QuotaRefusal(int status, String reason, long retryAfterMillis) {

	public QuotaRefusal {
		Objects.requireNonNull(reason, "reason");
	}

}
