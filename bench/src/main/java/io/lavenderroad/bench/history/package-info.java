/**
 * Records and checks histories of concurrent runs.
 */
package io.lavenderroad.bench.history;
