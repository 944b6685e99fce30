/**
 * Scripted scenarios that run against real processes.
 */
package io.lavenderroad.bench.scenario;
