/**
 * Stub backend servers, load generators, experiments, history checker and scenarios.
 */
package io.lavenderroad.bench;
