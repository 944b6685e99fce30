package io.lavenderroad.node.http;

/**
 * One whole answer to a caller.
 *
 * @param status status code
 * @param headers header fields without those of the connection and the length
 * @param body whole body
 * @param close whether the connection is closed after the answer
 */
public record OutgoingResponse(int status, HeaderFields headers, byte[] body, boolean close) {

}
