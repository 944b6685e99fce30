/**
 * Scriptable stub backend server, and the benchmark of calls that uses it.
 */
package io.lavenderroad.bench.backend;
