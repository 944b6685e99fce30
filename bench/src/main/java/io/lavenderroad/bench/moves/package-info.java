/**
 * Benchmark of the decisions about moves.
 */
package io.lavenderroad.bench.moves;
