/**
 * Quotas of teams over all nodes: token buckets at the leader, leased tokens at the
 * nodes, and the messages between them.
 */
package io.lavenderroad.policy.quota;
