/**
 * Runs daemons as separate processes on loopback addresses and injects faults into them.
 */
package io.lavenderroad.bench.cluster;
