package io.lavenderroad.daemon;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.Set;

import io.lavenderroad.core.Problem;
import io.vavr.collection.Seq;
import io.vavr.control.Either;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against a daemon that starts with invalid settings, reports only the first
 * problem, or fails without naming the key, and against an invalid template.
 */
public class SettingsBindingTests {

	private static final List<String> ROLES = List.of("control", "node");

	private static final String NODE = """
			cluster: gauteng
			id: germiston-1
			role: node
			region: gauteng
			failure-domain: germiston
			address: 127.0.1.1
			ports: { frames: 7400, http: 7480, admin: 7490 }
			seeds: [ "127.0.0.11:7400" ]
			backend: { service: catalogue, version: v1, http-port: 9001, slots: 12 }
			""";

	@Test
	public void validSettingsAreRead() {
		DaemonSettings settings = SettingsBinding.read("node.yml", NODE, ROLES).get();
		Assert.assertEquals(settings.frameAddress(), "127.0.1.1:7400");
		Assert.assertEquals(settings.backend().orElseThrow().healthPath(), "/health");
	}

	@Test
	public void everyProblemNamesItsKey() {
		String text = NODE.replace("127.0.1.1", "localhost")
			.replace("7480", "0")
			.replace("slots: 12", "slots: many")
			.replace("region:", "zone:");
		Seq<Problem> problems = SettingsBinding.read("node.yml", text, ROLES).getLeft();
		List<String> paths = problems.map((problem) -> problem.location().path()).asJava();
		for (String path : List.of("address", "ports.http", "backend.slots", "region", "zone")) {
			Assert.assertTrue(paths.contains(path), path + " is missing in " + paths);
		}
	}

	@Test
	public void controlMemberNeedsADataFolder() {
		Seq<Problem> problems = SettingsBinding.read("node.yml", NODE.replace("role: node", "role: control"), ROLES)
			.getLeft();
		Assert.assertTrue(problems.exists((problem) -> problem.location().path().equals("data-folder")));
	}

	@Test
	public void templateOfControlMembersNamesTheFailureDomains() throws IOException {
		String text = Files.readString(Path.of("../deploy/control.yml"))
			.replace("{{zones|json}}", "{\"north\":\"r\",\"south\":\"r\"}")
			.replaceAll("\\{\\{[a-z_]*port_range[.]0}}", "7400")
			.replaceAll("\\{\\{[a-z_]*port_range[.]1}}", "7401")
			.replace("{{first_start}}", "true")
			.replace("{{seed_addresses|json}}", "[\"127.0.0.1:7402\"]")
			.replace("{{ip_address|json}}", "127.0.0.1")
			.replace("{{listen_addresses.control_plane|json}}", "\"127.0.0.1:7402\"")
			.replaceAll("\\{\\{[a-z_]+[|]json}}", "north")
			.replaceAll("\\{\\{[a-z_.]+}}", "2");
		Either<Seq<Problem>, DaemonSettings> settings = SettingsBinding.read("control.yml", text, ROLES);
		Assert.assertTrue(settings.isRight(), settings + text);
		Assert.assertEquals(settings.get().failureDomains(), Set.of("north", "south"));
	}

	@Test
	public void mutatedSettingsNeverThrow() {
		Random random = new Random(20261204);
		for (int round = 0; round < 3_000; round++) {
			StringBuilder text = new StringBuilder(NODE);
			for (int edit = 0; edit < 1 + random.nextInt(5); edit++) {
				int position = random.nextInt(text.length());
				text.replace(position, Math.min(text.length(), position + random.nextInt(4)),
						String.valueOf((char) random.nextInt(300)));
			}
			Either<Seq<Problem>, DaemonSettings> result = SettingsBinding.read("node.yml", text.toString(), ROLES);
			Assert.assertTrue(result.isRight() || result.getLeft().nonEmpty());
		}
	}

	@Test
	public void checkReportsProblemsAndExitsWithThree() throws IOException {
		Path file = Files.createTempFile("settings", ".yml");
		Files.writeString(file, "role: node\n");
		ByteArrayOutputStream errors = new ByteArrayOutputStream();
		int code = new Main(new PrintStream(new ByteArrayOutputStream()), new PrintStream(errors)).run("check",
				file.toString());
		Files.delete(file);
		Assert.assertEquals(code, Main.INVALID_SETTINGS);
		Assert.assertTrue(errors.toString().contains("cluster"), errors.toString());
	}

}
