/**
 * Raft implementation of the control group: elections, log replication, leadership
 * confirmation for reads, snapshots and member changes.
 */
package io.lavenderroad.control.raft;
