package io.lavenderroad.node.http;

import java.util.function.Predicate;

/**
 * One request to a backend server.
 *
 * @param method HTTP method
 * @param target path with query
 * @param headers header fields without those of the connection and the length
 * @param body whole body
 * @param isAnswer tells by the header fields of an answer whether it belongs to this
 * request; other answers are dropped
 */
public record BackendRequest(String method, String target, HeaderFields headers, byte[] body,
		Predicate<HeaderFields> isAnswer) {

}
