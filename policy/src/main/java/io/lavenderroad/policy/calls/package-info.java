/**
 * Decisions about single calls: load balancing, admission, retries, backoff and slow
 * start. They read no clock and open no socket.
 */
package io.lavenderroad.policy.calls;
