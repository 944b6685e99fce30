package io.lavenderroad.core.wire;

import io.lavenderroad.core.ExecutionVerdict;

/**
 * Failure of a call over a connection that received no answer.
 *
 * @param verdict whether the peer may have run the request
 * @param reason short sentence for logs and operators
 */
public record CallFailure(ExecutionVerdict verdict, String reason) {

}
