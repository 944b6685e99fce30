package io.lavenderroad.control.state;

/**
 * First outcome of a change, kept for resends.
 *
 * @param outcome the outcome
 * @param digest digest of the content of the change
 * @param atMillis command time of the outcome, milliseconds since the epoch
 */
record StoredOutcome(CommandOutcome outcome, String digest, long atMillis) {

}
