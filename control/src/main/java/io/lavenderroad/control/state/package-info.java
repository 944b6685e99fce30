/**
 * Replicated state of the mesh and the services that accept changes to it.
 */
package io.lavenderroad.control.state;
