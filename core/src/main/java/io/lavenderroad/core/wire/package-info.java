/**
 * Framed MessagePack connections between the product's own processes.
 */
package io.lavenderroad.core.wire;
