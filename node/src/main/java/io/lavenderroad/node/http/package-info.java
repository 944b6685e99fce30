/**
 * HTTP/1.1 server of a node for callers and HTTP/1.1 client for the local backend server.
 * Apache HttpComponents Core parses requests and writes messages, and
 * {@code io.lavenderroad.core.http} reads responses; connections, their threads and their
 * reuse are implemented here.
 */
package io.lavenderroad.node.http;
