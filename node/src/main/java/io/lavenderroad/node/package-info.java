/**
 * Proxy beside each backend server.
 */
package io.lavenderroad.node;
