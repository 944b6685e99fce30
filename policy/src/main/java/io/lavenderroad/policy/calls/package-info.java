/**
 * Decisions about single calls: load balancing, admission, retries, backoff and slow
 * start. They neither read clocks nor open sockets; callers pass in clock readings.
 */
package io.lavenderroad.policy.calls;
