package io.lavenderroad.tool;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a change that is sent under two ids, an unknown outcome that is reported
 * as refused, and responses that end the tool with an undocumented exit code.
 */
public class MainTests {

	private static final String EXAMPLE = "../examples/mokoena";

	private static final String DRY_RUN = "{\"baseVersion\":6,\"lines\":[\"service catalogue added\"]}";

	private static final String ACCEPTED = "{\"changeId\":\"id-1\",\"accepted\":true,\"version\":7}";

	private final List<String> requests = new ArrayList<>();

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream error = new ByteArrayOutputStream();

	private long nowMillis;

	@BeforeMethod
	public void reset() {
		this.requests.clear();
		this.out.reset();
		this.error.reset();
		this.nowMillis = 1_800_000_000_000L;
	}

	@Test
	public void changeIsRetriedUnderTheSameIdAfterALostAnswer() {
		int code = run((address, method, path, body) -> {
			if (path.equals("/v1/diff")) {
				return response(200, DRY_RUN);
			}
			if (count("POST /v1/changes") == 1) {
				throw new IOException("connection reset");
			}
			return response(200, ACCEPTED);
		}, "apply", EXAMPLE);
		Assert.assertEquals(code, 0, output());
		Assert.assertEquals(count("POST /v1/changes"), 2);
		Assert.assertEquals(this.requests.stream().filter((line) -> line.contains("\"changeId\":\"id-1\"")).count(), 2);
		Assert.assertTrue(output().contains("change id-1 is version 7"), output());
	}

	@Test
	public void lostAnswerWithoutAnOutcomeIsUnknown() {
		for (HttpTransport.Response later : List.of(response(503, "{}"), response(400, "{\"problems\":[]}"),
				response(504, "{}"))) {
			reset();
			int code = run((address, method, path, body) -> {
				if (path.equals("/v1/diff")) {
					return response(200, DRY_RUN);
				}
				if (count("POST /v1/changes") == 1) {
					throw new IOException("connection reset");
				}
				return later;
			}, "apply", EXAMPLE);
			Assert.assertEquals(code, 5, output());
			Assert.assertTrue(output().contains("lavenderroad verdict id-1"), output());
			Assert.assertTrue(output().contains("--change-id id-1 --base-version 6"), output());
		}
	}

	@Test
	public void changeThatWasNeverSentIsNotRun() {
		int code = run((address, method, path, body) -> {
			if (path.equals("/v1/diff")) {
				return response(200, DRY_RUN);
			}
			throw new ConnectException("refused");
		}, "apply", EXAMPLE);
		Assert.assertEquals(code, 4, output());
		Assert.assertTrue(output().startsWith("against version 6"), output());
	}

	@Test
	public void losingConcurrentChangeIsRefused() {
		int code = run(
				(address, method, path, body) -> response(409,
						"{\"changeId\":\"id-1\",\"accepted\":false,\"reason\":\"conflict: change x made version 7\"}"),
				"apply", "--base-version", "6", "--output", "json", EXAMPLE);
		Assert.assertEquals(code, 4);
		Assert.assertTrue(output().startsWith("{"), output());
		Assert.assertTrue(output().contains("not run: conflict: change x"), output());
	}

	@Test
	public void requestFollowsTheLeaderNamedByAMember() {
		int code = run(
				(address, method, path, body) -> address.equals("127.0.0.13:7490") ? response(200, ACCEPTED)
						: response(421, "{\"reason\":\"not the leader\",\"leaderAddress\":\"127.0.0.13:7490\"}"),
				"apply", "--base-version", "6", "--control", "127.0.0.12:7490,127.0.0.11:7490", EXAMPLE);
		Assert.assertEquals(code, 0, output());
		Assert.assertEquals(this.requests.size(), 2);
	}

	@Test
	public void leaderReasonIsShownEvenIfOtherMembersAnswerLast() {
		int code = run(
				(address, method, path, body) -> address.equals("127.0.0.11:7490")
						? response(503, "{\"reason\":\"member control-9 is not in the group\"}")
						: response(421, "{\"reason\":\"not the leader\",\"leaderAddress\":\"127.0.0.11:7490\"}"),
				"members", "remove", "control-9");
		Assert.assertEquals(code, 4, output());
		Assert.assertTrue(output().contains("member control-9 is not in the group"), output());
	}

	@Test
	public void evacuationIsOrderedAgainAfterALostAnswerAndListed() {
		int code = run((address, method, path, body) -> {
			if (count("PUT /v1/evacuations/north") == 1) {
				throw new IOException("connection reset");
			}
			return response(200, "{\"evacuated\":true,\"version\":9}");
		}, "evacuate", "begin", "north");
		Assert.assertEquals(code, 0, output());
		Assert.assertTrue(output().contains("north is evacuated as of version 9"), output());
		HttpTransport list = (address, method, path, body) -> response(200,
				"{\"evacuations\":[{\"failureDomain\":\"north\",\"acceptingEndpoints\":3}]}");
		Assert.assertEquals(run(list, "evacuate", "list"), 0, output());
		Assert.assertTrue(output().contains("north           3"), output());
		Assert.assertEquals(run((address, method, path, body) -> response(404, "{\"reason\":\"unknown\"}"), "evacuate",
				"finish", "south"), 4);
		Assert.assertEquals(run(list, "evacuate", "begin", "../members"), 2);
	}

	@Test
	public void changeWithoutALeaderIsNotRun() {
		int code = run((address, method, path, body) -> response(503, "{\"reason\":\"no leader\"}"), "apply", EXAMPLE);
		Assert.assertEquals(code, 4, output());
		Assert.assertTrue(output().startsWith("not run: "), output());
	}

	@Test
	public void problemsNameTheFileOfTheOperator() {
		int code = run(
				(address, method, path, body) -> response(400,
						"{\"problems\":[{\"source\":\"parameters/mokoena\","
								+ "\"line\":6,\"column\":5,\"key\":\"x\",\"found\":\"y\",\"allowed\":\"z\"}]}"),
				"diff", EXAMPLE);
		Assert.assertEquals(code, 3);
		Assert.assertTrue(output().contains("parameters.yml:6:5: x: found y; allowed: z"), output());
	}

	@Test
	public void invalidFilesAreReportedTogether() throws IOException {
		Path folder = Files.createTempDirectory("documents");
		Files.writeString(folder.resolve("a.yml"), "kind: recipe\n");
		Files.writeString(folder.resolve("b.yml"), "kind: [\n");
		Assert.assertEquals(run(unreachable(), "check", folder.toString()), 3);
		Assert.assertTrue(output().contains("a.yml:1") && output().contains("b.yml:2"), output());
		Assert.assertEquals(run(unreachable(), "check", EXAMPLE, "../examples/prairie-pantry"), 0);
	}

	@Test
	public void memberAdditionIsNotRetriedAfterALostAnswer() {
		int code = run((address, method, path, body) -> {
			throw new IOException("connection reset");
		}, "members", "add", "control-4", "127.0.0.14:7400");
		Assert.assertEquals(code, 5);
		Assert.assertEquals(this.requests.size(), 1);
	}

	@Test
	public void replacementAddsBeforeItRemoves() {
		String members = "{\"members\":[{\"id\":\"control-1\",\"voter\":true},{\"id\":\"control-4\",\"voter\":true}]}";
		int code = run(
				(address, method, path, body) -> response(200,
						(method.equals("POST") || path.equals("/v1/status")) ? members
								: members.replace("control-4", "control-2")),
				"members", "replace", "control-1", "control-4", "127.0.0.14:7400");
		Assert.assertEquals(code, 0, output());
		Assert.assertEquals(this.requests.stream()
			.map((line) -> line.substring(0, line.indexOf(' ')))
			.filter((m) -> !m.equals("GET"))
			.toList(), List.of("POST", "DELETE"));
	}

	@Test
	public void verdictShowsWhyAVersionWasTakenBack() {
		String move = "{\"id\":\"catalogue-v2-9\",\"service\":\"catalogue\",\"from\":\"v1\",\"to\":\"v2\","
				+ "\"status\":\"taken-back\",\"finishedMillis\":1800000000000,\"reason\":\"more errors than v1\","
				+ "\"route\":\"orders\",\"figures\":\"errors new 12/300 old 1/900\"}";
		Assert.assertEquals(run((address, method, path, body) -> response(200, move), "verdict", "catalogue-v2-9"), 0);
		Assert.assertEquals(output(), """
				taken back at 2027-01-15 08:00:00 UTC: service catalogue, move catalogue-v2-9 from v1 to v2
				all traffic is on v1
				reason: more errors than v1
				route: orders
				figures: errors new 12/300 old 1/900
				""");
	}

	@Test
	public void watchEndsWhenEveryNodeHasTheVersion() {
		int code = run((address, method, path, body) -> response(200,
				"{\"version\":7,\"nodes\":3,\"nodesByVersion\":{\"6\":" + Math.max(0, 5 - this.requests.size())
						+ ",\"7\":" + Math.min(3, this.requests.size() - 2) + "}}"),
				"watch", "7");
		Assert.assertEquals(code, 0, output());
		Assert.assertTrue(output().endsWith("version 7 is active on 3 of 3 nodes\n"), output());
	}

	@Test
	public void watchThatDoesNotConvergeFails() {
		for (String nodes : List.of("{\"version\":7,\"nodes\":3,\"nodesByVersion\":{\"6\":3}}",
				"{\"version\":7,\"nodes\":0,\"nodesByVersion\":{}}")) {
			int code = run((address, method, path, body) -> response(200, nodes), "watch", "--time-limit", "2");
			Assert.assertEquals(code, 1, nodes);
		}
	}

	@Test
	public void wrongCommandLinesAreUsageErrors() {
		for (String line : List.of("", "fly", "apply", "status --output xml", "verdict ../x", "members add x",
				"apply --change-id x " + EXAMPLE, "status --time-limit 0", "watch x", "status --control nowhere")) {
			String[] arguments = line.isEmpty() ? new String[0] : line.split(" ");
			Assert.assertEquals(run(unreachable(), arguments), 2, line);
		}
		Assert.assertEquals(run(unreachable(), "--help"), 0);
	}

	@Test
	public void randomAnswersEndWithAnExitCode() {
		Random random = new Random(20261204);
		String[][] lines = { { "status" }, { "nodes" }, { "history" }, { "move" }, { "members" }, { "verdict", "x" },
				{ "apply", EXAMPLE }, { "watch", "--time-limit", "1" } };
		for (int round = 0; round < 500; round++) {
			int code = run((address, method, path, body) -> {
				byte[] noise = new byte[random.nextInt(30)];
				random.nextBytes(noise);
				String text = new String(noise, StandardCharsets.ISO_8859_1);
				return response(200 + random.nextInt(310),
						random.nextBoolean() ? text : "{\"nodes\":[3],\"moves\":{}}");
			}, lines[round % lines.length]);
			Assert.assertTrue(code >= 0 && code <= 5, "exit code " + code);
		}
	}

	private int run(HttpTransport members, String... arguments) {
		HttpTransport recorded = (address, method, path, body) -> {
			this.requests.add(method + " " + path + " " + body.orElse(""));
			return members.send(address, method, path, body);
		};
		ToolContext context = new ToolContext(new PrintStream(this.out, true, StandardCharsets.UTF_8),
				new PrintStream(this.error, true, StandardCharsets.UTF_8),
				Map.of("LAVENDERROAD_CONTROL", "127.0.0.11:7490, 127.0.0.12:7490"), () -> this.nowMillis,
				(millis) -> this.nowMillis += millis, recorded, () -> "id-1");
		return Main.run(context, arguments);
	}

	private String output() {
		return this.out.toString(StandardCharsets.UTF_8) + this.error.toString(StandardCharsets.UTF_8);
	}

	private long count(String start) {
		return this.requests.stream().filter((line) -> line.startsWith(start)).count();
	}

	private static HttpTransport unreachable() {
		return (address, method, path, body) -> {
			throw new ConnectException("refused");
		};
	}

	private static HttpTransport.Response response(int status, String body) {
		return new HttpTransport.Response(status, body);
	}

}
