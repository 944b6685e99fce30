/**
 * HTTP/1.1 server of a node for callers and HTTP/1.1 client for the local backend server.
 * Apache HttpComponents Core parses and writes the messages; connections, their threads
 * and their reuse are implemented here.
 */
package io.lavenderroad.node.http;
