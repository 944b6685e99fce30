/**
 * Decision functions for moves, balancing, limits and retries.
 */
package io.lavenderroad.policy;
