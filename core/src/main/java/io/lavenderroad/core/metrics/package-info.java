/**
 * Text form of metrics.
 */
package io.lavenderroad.core.metrics;
