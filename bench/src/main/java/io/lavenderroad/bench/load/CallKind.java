package io.lavenderroad.bench.load;

/**
 * One kind of call in a load.
 *
 * @param service name of the service
 * @param method HTTP method
 * @param path path of the request
 * @param idempotent whether the route is idempotent; other calls carry an idempotency key
 * @param weight relative frequency of this kind
 */
public record CallKind(String service, String method, String path, boolean idempotent, int weight) {

}
