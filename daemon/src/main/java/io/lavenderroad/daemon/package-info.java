/**
 * The lavenderroadd daemon.
 */
package io.lavenderroad.daemon;
