/**
 * Recording and checking of histories of concurrent runs.
 */
package io.lavenderroad.bench.history;
