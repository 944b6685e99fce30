package io.lavenderroad.node.http;

/**
 * Whole answer of a backend server.
 *
 * @param status status code
 * @param headers all header fields
 * @param body whole body
 * @param framed whether the end of the body was marked; if not, it ended with the
 * connection
 */
public record BackendResponse(int status, HeaderFields headers, byte[] body, boolean framed) {

}
