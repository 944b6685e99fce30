/**
 * Metrics in the Prometheus text format.
 */
package io.lavenderroad.core.metrics;
