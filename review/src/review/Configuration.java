package review;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Writes configurations as the operator sends them.
 */
final class Configuration {

	static final String HOST = "shop.example";

	private Configuration() {
	}

	record Route(String name, String prefix, boolean idempotent, int timeoutMillis, String service) {

		private String json() {
			return "\"" + this.name + "\":{\"host\":\"" + HOST + "\",\"path_prefix\":\"" + this.prefix + "\",\"kind\":\""
					+ (this.idempotent ? "idempotent" : "non_idempotent") + "\",\"timeout_ms\":" + this.timeoutMillis
					+ ",\"target_latency_ms\":1000,\"priority\":1,\"service\":\"" + this.service
					+ "\",\"maximum_attempts\":2}";
		}

	}

	static String of(int version, List<String> services, List<Route> routes) {
		String service = "{\"health_path\":\"/health\",\"connection_limit\":120,\"protocol\":\"h1\","
				+ "\"transport_security\":false}";
		return "{\"version\":\"r" + version + "\",\"routes\":{"
				+ routes.stream().map(Route::json).collect(Collectors.joining(",")) + "},\"services\":{"
				+ services.stream().map((name) -> "\"" + name + "\":" + service).collect(Collectors.joining(","))
				+ "},\"limits\":{\"maximum_header_bytes\":16384,\"maximum_body_bytes\":67108864,"
				+ "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
	}

}
