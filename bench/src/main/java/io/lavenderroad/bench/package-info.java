/**
 * Stand-ins, load and experiment tool, history checker, scenarios.
 */
package io.lavenderroad.bench;
