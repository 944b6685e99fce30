/**
 * Sidecar proxy of a backend server: routing, admission and idempotency keys.
 */
package io.lavenderroad.node;
