/**
 * Load on a mesh from external callers.
 */
package io.lavenderroad.bench.load;
