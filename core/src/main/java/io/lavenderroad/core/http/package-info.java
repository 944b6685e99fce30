/**
 * Reads HTTP/1.1 messages strictly as RFC 9110 and RFC 9112 define them. Apache
 * HttpComponents Core provides buffers and the parser of a head; what it accepts beyond
 * the grammar is refused here, so that every reader refuses the same.
 */
package io.lavenderroad.core.http;
