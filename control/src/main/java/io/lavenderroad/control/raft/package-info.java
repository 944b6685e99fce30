/**
 * Control member based on Raft: elections, replication, read confirmation, snapshots and
 * member changes.
 */
package io.lavenderroad.control.raft;
