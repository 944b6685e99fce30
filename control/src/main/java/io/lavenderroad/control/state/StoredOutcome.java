package io.lavenderroad.control.state;

/**
 * Recorded outcome of a change, kept to answer resends.
 *
 * @param outcome the outcome
 * @param digest digest of the content of the change
 * @param atMillis command time of the outcome, milliseconds since the epoch
 */
record StoredOutcome(CommandOutcome outcome, String digest, long atMillis) {

}
