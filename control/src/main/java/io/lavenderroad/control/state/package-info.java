/**
 * Replicated state of the mesh and the acceptance of changes.
 */
package io.lavenderroad.control.state;
