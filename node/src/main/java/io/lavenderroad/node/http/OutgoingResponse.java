package io.lavenderroad.node.http;

/**
 * One complete response to a caller.
 *
 * @param status status code
 * @param headers header fields without hop-by-hop fields and the content length
 * @param body complete body
 * @param close whether the connection is closed after the response
 */
public record OutgoingResponse(int status, HeaderFields headers, byte[] body, boolean close) {

}
