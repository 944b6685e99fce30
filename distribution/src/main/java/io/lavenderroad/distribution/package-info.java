/**
 * Relay tree, endpoint registry and configuration subscriptions.
 */
package io.lavenderroad.distribution;
