/**
 * Durable storage of a control member: log segments, term and vote, snapshots, identity.
 */
package io.lavenderroad.control.log;
