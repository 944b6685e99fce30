/**
 * Replicated log, elections, snapshots and member changes.
 */
package io.lavenderroad.control;
