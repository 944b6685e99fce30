/**
 * Simulations that measure the decisions about moves.
 */
package io.lavenderroad.bench.moves;
