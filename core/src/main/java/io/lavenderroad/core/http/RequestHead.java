package io.lavenderroad.core.http;

import java.util.List;

/**
 * Head of one request, as {@link RequestReader} accepted it.
 *
 * @param method the method, a token
 * @param target the request target as it was received, without spaces
 * @param persistent whether the version of HTTP keeps the connection open by default
 * @param fields alternating names and values of the header fields, in their order
 * @param bodyLength length of the body as {@link MessageLength} determines it
 */
public record RequestHead(String method, String target, boolean persistent, List<String> fields, long bodyLength) {

}
