import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Case 15. The operator sends three invalid configurations, a second apart: one route names an unknown service beside its
 * split, one body goes on after the configuration, one body holds a second configuration. None may be acknowledged.
 */
final class InvalidConfigurations implements Run.Case {

	private static final String REPLACE = "/lavenderroad/Configuration.Replace";

	private static final String READ = "/lavenderroad/Configuration.Read";

	private static final long GAP_MILLIS = 1_000;

	@Override
	public boolean play(Path repository, boolean trouble, Record record) throws Exception {
		try (Deployment deployment = new Deployment(repository, 3, 1)) {
			deployment.endWithProcess();
			for (int core = 0; core < 3; core++) {
				deployment.startCore(core, true);
			}
			int newest = 0;
			for (int version = 2; version <= 6; version += 2) {
				int status = deployment.order("POST", REPLACE, "r" + newest, valid(version, "huvo")).status();
				record.write("valid configuration r%d on r%d: %d", version, newest, status);
				newest = version;
			}
			boolean broken = false;
			if (trouble) {
				for (Map.Entry<String, String> invalid : invalid(newest + 2).entrySet()) {
					broken |= send(deployment, invalid.getKey(), invalid.getValue(), newest, record);
					newest = version(deployment);
					Thread.sleep(GAP_MILLIS);
				}
			}
			int status = deployment.order("POST", REPLACE, "r" + newest, valid(100, "huvo")).status();
			record.write("valid configuration r100 on r%d: %d", newest, status);
			String read = deployment.order("GET", READ, null, null).text();
			record.write("read back: %s", read);
			return broken || version(deployment) != 100;
		}
	}

	private static boolean send(Deployment deployment, String name, String body, int newest, Record record)
			throws InterruptedException {
		record.write("invalid configuration (%s) on r%d: %s", name, newest, body);
		int status = deployment.order("POST", REPLACE, "r" + newest, body).status();
		String inForce = deployment.order("GET", READ, null, null).text();
		record.write("answered %d; read afterwards: %s", status, inForce);
		boolean acknowledged = status >= 200 && status < 300;
		if (acknowledged) {
			record.write("CONFIG: an invalid configuration was acknowledged");
		}
		return acknowledged;
	}

	// Each body is built on the version that is in force, and would be valid but for the one thing that its name says.
	private static Map<String, String> invalid(int version) {
		Map<String, String> bodies = new LinkedHashMap<>();
		bodies.put("a route names the unknown service 'nowhere'",
				valid(version, "huvo").replace("\"service\":\"huvo\"",
						"\"service\":\"nowhere\",\"traffic_split\":[{\"service\":\"huvo\",\"weight\":1}]"));
		bodies.put("text follows the configuration", valid(version + 2, "huvo") + ",\"routes\":{\"r-b\":{\"host\"");
		bodies.put("a second configuration follows", valid(version + 4, "huvo") + valid(version + 6, "wuno"));
		return bodies;
	}

	private static String valid(int version, String service) {
		Map<String, String> routes = new TreeMap<>(Map.of("r-a", Deployment.route("desk.example", "/orders/",
				"non_idempotent", 1_200, 500, service)));
		return Deployment.configuration(version, routes, "huvo", "wuno");
	}

	private static int version(Deployment deployment) throws InterruptedException {
		String text = deployment.order("GET", READ, null, null).text();
		int start = text.indexOf("\"version\":\"r") + "\"version\":\"r".length();
		return Integer.parseInt(text.substring(start, text.indexOf('"', start)));
	}

}
