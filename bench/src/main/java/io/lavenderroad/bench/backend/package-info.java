/**
 * Scriptable stand-in for backend servers, and the benchmark of calls that uses it.
 */
package io.lavenderroad.bench.backend;
