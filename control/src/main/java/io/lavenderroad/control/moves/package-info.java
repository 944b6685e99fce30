/**
 * Moves of traffic between backend server versions, driven by the leader.
 */
package io.lavenderroad.control.moves;
