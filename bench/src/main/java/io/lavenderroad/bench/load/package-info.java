/**
 * Load on a mesh from outside callers.
 */
package io.lavenderroad.bench.load;
