/**
 * Measures the resource usage of a node as a separate process.
 */
package io.lavenderroad.bench.node;
