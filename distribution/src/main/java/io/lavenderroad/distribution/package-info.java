/**
 * Relay tree, endpoint registry and configuration subscriptions.
 * <ul>
 * <li>The roots of the tree are the control members. Each node attaches to one parent. A
 * node that accepts children is a relay and holds all services of the configuration;
 * other nodes hold a slice, the services in their scope.</li>
 * <li>Versions are sent down the tree: as a whole slice, as a delta, or as an advance if
 * nothing in the slice changes. Reports of active versions and evidence are sent up.
 * Announcements of endpoints are sent in both directions.</li>
 * <li>The age of the last root confirmation is the time since the root at the top of the
 * path had contact with a quorum, as reported in heartbeats down the path.</li>
 * <li>The version floor is the minimum version that a node may serve, which a quorum
 * confirms for a node that starts without a stored version.</li>
 * </ul>
 */
package io.lavenderroad.distribution;
