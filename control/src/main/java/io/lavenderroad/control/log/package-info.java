/**
 * Durable storage of a control member: log segments, term and vote, snapshots.
 */
package io.lavenderroad.control.log;
