/**
 * Scripted scenarios against real processes.
 */
package io.lavenderroad.bench.scenario;
