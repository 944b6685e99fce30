package io.lavenderroad.policy.moves;

/**
 * What held during a window of evidence besides the calls.
 *
 * @param seconds length of the window
 * @param cold whether the new version is in its cold start, so that latencies are not
 * compared
 * @param overloaded whether demand exceeds what the servers in use can carry, so that
 * latencies and refusals are not compared and only gross differences in errors are
 */
public record WindowConditions(double seconds, boolean cold, boolean overloaded) {
}
