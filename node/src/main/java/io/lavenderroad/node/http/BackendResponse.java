package io.lavenderroad.node.http;

/**
 * Complete response of a backend server.
 *
 * @param status status code
 * @param headers all header fields
 * @param body complete body
 * @param framed whether the message framing marked the end of the body; if not, the body
 * ended when the connection was closed
 */
public record BackendResponse(int status, HeaderFields headers, byte[] body, boolean framed) {

}
