/**
 * Demonstration of the whole system on one machine.
 */
package io.lavenderroad.bench.demo;
