import java.nio.file.Path;
import java.util.Map;

/**
 * Case 15. The operator sends a configuration whose route states its split as null, as many JSON writers do for what is
 * not set. What is read back under its number must be what was sent.
 */
final class EmptyFields implements Run.Case {

	private static final String REPLACE = "/lavenderroad/Configuration.Replace";

	@Override
	public boolean play(Path repository, boolean trouble, Record record) throws Exception {
		try (Deployment deployment = new Deployment(repository, 3, 1)) {
			deployment.endWithProcess();
			for (int core = 0; core < 3; core++) {
				deployment.startCore(core, true);
			}
			String plain = Deployment.configuration(2, Map.of("r-a",
					Deployment.route("desk.example", "/orders/", "non_idempotent", 1_200, 500, "orders")), "orders");
			record.write("sent: %s", plain);
			record.write("answered %d", deployment.order("POST", REPLACE, "0", plain).status());
			String newest = plain;
			if (trouble) {
				newest = plain.replace("\"r2\"", "\"r4\"")
					.replace("\"service\":\"orders\"", "\"service\":\"orders\",\"traffic_split\":null");
				record.write("sent: %s", newest);
				record.write("answered %d", deployment.order("POST", REPLACE, "r2", newest).status());
			}
			String read = deployment.order("GET", "/lavenderroad/Configuration.Read", null, null).text();
			record.write("read: %s", read);
			return !sorted(newest).equals(sorted(read));
		}
	}

	// The order of the fields of an object carries no meaning. The bodies here have no lists and no commas in texts, so
	// two of them hold the same if they hold the same characters.
	private static String sorted(String json) {
		return json.replaceAll("\\s", "")
			.chars()
			.sorted()
			.collect(StringBuilder::new, StringBuilder::appendCodePoint, StringBuilder::append)
			.toString();
	}

}
