/**
 * Control of moves of traffic between backend server versions, run by the leader.
 */
package io.lavenderroad.control.moves;
