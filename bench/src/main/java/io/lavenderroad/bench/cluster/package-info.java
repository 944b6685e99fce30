/**
 * Starts, stops and disturbs daemons as separate processes on loopback addresses.
 */
package io.lavenderroad.bench.cluster;
