/**
 * HTTP/1.1 of a node: towards callers and towards the backend server on the same VM. The
 * messages are parsed and written by Apache HttpComponents Core; connections, their tasks
 * and their reuse are the product's own.
 */
package io.lavenderroad.node.http;
