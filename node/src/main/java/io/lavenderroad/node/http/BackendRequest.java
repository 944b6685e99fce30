package io.lavenderroad.node.http;

import java.util.function.Function;
import java.util.function.Predicate;

/**
 * One request to a backend server.
 *
 * @param method HTTP method
 * @param target path with query
 * @param headers header fields without hop-by-hop fields and the content length
 * @param body complete body, empty if there is none
 * @param responseMatcher tells by the header fields of a response whether it belongs to
 * this request; other responses are dropped
 * @param refusalTest tests whether a response states that the request was not run
 */
public record BackendRequest(String method, String target, HeaderFields headers, byte[] body,
		Function<HeaderFields, ResponseMatch> responseMatcher, Predicate<BackendResponse> refusalTest) {

}
