package io.lavenderroad.policy.moves;

/**
 * Conditions during a window of observations.
 *
 * @param seconds length of the window
 * @param cold whether the new version is in its cold start, in which case latencies are
 * not compared
 * @param overloaded whether demand exceeds the capacity of the servers in use, in which
 * case latencies and refusals are not compared, and only large differences in errors
 * count
 */
public record WindowConditions(double seconds, boolean cold, boolean overloaded) {
}
