/**
 * Decision functions for moving the traffic of a service from one backend server version
 * to another.
 */
package io.lavenderroad.policy.moves;
