package io.lavenderroad.control.api;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;

import com.fasterxml.jackson.jr.ob.JSON;
import io.lavenderroad.control.api.ConvergenceView.Convergence;
import io.lavenderroad.control.api.ConvergenceView.LaggingNode;
import io.lavenderroad.control.api.MemberAdministration.Member;
import io.lavenderroad.control.api.MemberAdministration.MemberStatus;
import io.lavenderroad.control.state.CommandFailure;
import io.lavenderroad.control.state.TestMesh;
import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.model.Change;
import io.lavenderroad.model.Quota;
import io.lavenderroad.policy.quota.TeamUse;
import io.vavr.control.Either;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against input that stops the server or gets no readable response, and against
 * refusals without a verdict.
 */
public class OperatorApiTests {

	private final HttpClient client = HttpClient.newHttpClient();

	private TestMesh mesh;

	private OperatorApi api;

	private InetSocketAddress address;

	@BeforeMethod
	public void start() throws IOException {
		this.mesh = new TestMesh();
		Convergence convergence = new Convergence(new TreeMap<>(Map.of(0L, 1, 1L, 9)),
				List.of(new LaggingNode("soweto-1", 0, 700)), List.of());
		this.api = new OperatorApi(this.mesh.stateMachine, this.mesh.changes, this.mesh.moves, this.mesh.evacuations,
				this.mesh::confirm, new FakeMembers(), () -> convergence, () -> "changes 1\n");
		this.address = this.api.start(new InetSocketAddress("127.0.0.1", 0));
	}

	@AfterMethod
	public void stop() {
		this.api.close();
	}

	@Test
	public void acceptedChangeIsFoundByItsId() throws Exception {
		HttpResponse<String> accepted = send("POST", "/v1/changes", change("change-1", 0, "v1"));
		Assert.assertEquals(accepted.statusCode(), 200, accepted.body());
		Assert.assertEquals(json(send("GET", "/v1/changes/change-1", "")).get("version"), 1);
		Assert.assertEquals(send("GET", "/v1/changes/change-2", "").statusCode(), 404);
		Assert.assertEquals(json(send("GET", "/v1/status", "")).get("nodesCurrent"), 9);
		for (String path : List.of("history", "configuration", "moves", "members", "nodes")) {
			Assert.assertEquals(send("GET", "/v1/" + path, "").statusCode(), 200, path);
		}
	}

	// Operators must see the quota of a team together with its refusals.
	@Test
	public void teamsShowLimitAndUse() throws Exception {
		this.api.teamUses(() -> List.of(new TeamUse("orders", new Quota(13.5, 20), 60, 7, 9)));
		HttpResponse<String> response = send("GET", "/v1/teams", "");
		Assert.assertEquals(response.body().replaceAll("\\s", ""),
				"{\"windowMillis\":5000,\"teams\":[{\"team\":\"orders\",\"requestsPerSecond\":13.5,"
						+ "\"burst\":20.0,\"grantedInWindow\":60,\"refusedInWindow\":7,\"refusedTotal\":9}]}");
	}

	@Test
	public void conflictNamesTheAcceptedChange() throws Exception {
		send("POST", "/v1/changes", change("change-1", 0, "v1"));
		HttpResponse<String> loser = send("POST", "/v1/changes", change("change-2", 0, "v3"));
		Assert.assertEquals(loser.statusCode(), 409);
		Assert.assertEquals(json(loser).get("verdict"), "not-run");
		Assert.assertTrue(loser.body().contains("change-1"), loser.body());
	}

	@Test
	public void problemOfAnInvalidDocumentHasItsLocation() throws Exception {
		HttpResponse<String> rejected = send("POST", "/v1/diff",
				change("", 0, "'?'").replaceFirst("\"changeId\":\"\",\"baseVersion\":0,\"operator\":\"thandi\",", ""));
		Assert.assertEquals(rejected.statusCode(), 400, rejected.body());
		Assert.assertTrue(rejected.body().contains("\"line\" : 5"), rejected.body());
	}

	@Test
	public void memberThatDoesNotLeadNamesTheLeader() throws Exception {
		this.mesh.leads = false;
		for (HttpResponse<String> response : List.of(send("POST", "/v1/changes", change("change-1", 0, "v1")),
				send("GET", "/v1/changes/change-1", ""), send("GET", "/v1/history", ""))) {
			Assert.assertEquals(response.statusCode(), 421);
			Assert.assertEquals(json(response).get("verdict"), "not-run");
			Assert.assertEquals(json(response).get("leaderAddress"), "127.0.0.9:7490");
		}
	}

	@Test
	public void changeWithALostAnswerMayHaveRun() throws Exception {
		this.mesh.losesAnswers = true;
		HttpResponse<String> lost = send("POST", "/v1/changes", change("change-1", 0, "v1"));
		Assert.assertEquals(lost.statusCode(), 504);
		Assert.assertEquals(json(lost).get("verdict"), "may-have-run");
	}

	@Test
	public void withdrawalEndsAMoveOnce() throws Exception {
		send("POST", "/v1/changes", change("change-1", 0, "v1, move: { to: v2 }"));
		String path = "/v1/moves/desk-v2-1/withdraw";
		HttpResponse<String> first = send("POST", path, "{\"operator\":\"thandi\",\"reason\":\"odd prices\"}");
		Assert.assertEquals(json(first).get("status"), "taken-back", first.body());
		Assert.assertEquals(send("POST", path, "{\"operator\":\"thandi\"}").statusCode(), 409);
		Assert.assertTrue(send("GET", "/v1/moves?service=desk", "").body().contains("desk-v2-1"));
		Assert.assertFalse(send("GET", "/v1/moves?service=des", "").body().contains("desk-v2-1"));
		Assert.assertEquals(send("POST", "/v1/moves/none/withdraw", "{\"operator\":\"thandi\"}").statusCode(), 409);
	}

	@Test
	public void evacuationIsOrderedListedAndWithdrawn() throws Exception {
		Assert.assertEquals(send("PUT", "/v1/evacuations/nowhere", "").statusCode(), 404);
		Assert.assertEquals(json(send("PUT", "/v1/evacuations/north", "")).get("evacuated"), true);
		Assert.assertTrue(send("GET", "/v1/evacuations", "").body().contains("\"north\""));
		Assert.assertEquals(json(send("DELETE", "/v1/evacuations/north", "")).get("version"), 2);
		Assert.assertFalse(send("GET", "/v1/evacuations", "").body().contains("north"));
		Assert.assertEquals(send("POST", "/v1/evacuations/north", "").statusCode(), 405);
		this.mesh.leads = false;
		Assert.assertEquals(send("PUT", "/v1/evacuations/nowhere", "").statusCode(), 421);
	}

	@Test
	public void invalidBodiesGetBadRequest() throws Exception {
		for (String body : List.of("", "[]", "null", "{", "{\"put\":3}", "\"text\"", "{\"changeId\":1}", "[[[[",
				"{\"changeId\":\"a\",\"changeId\":\"b\"}", "{\"extra\":1}", "[".repeat(50_000))) {
			HttpResponse<String> response = send("POST", "/v1/changes", body);
			Assert.assertEquals(response.statusCode(), 400, body.substring(0, Math.min(40, body.length())));
			Assert.assertTrue(response.body().contains("\"allowed\""), response.body());
		}
		Assert.assertEquals(send("GET", "/v1/history?limit=many", "").statusCode(), 400);
		Assert.assertEquals(send("PUT", "/v1/changes", "").statusCode(), 405);
		Assert.assertEquals(send("GET", "/v2/changes", "").statusCode(), 404);
		Assert.assertEquals(send("GET", "/v1/status", "").statusCode(), 200);
	}

	@Test
	public void mutatedBodiesNeverThrow() throws Exception {
		Random random = new Random(20261204);
		String valid = change("change-1", 0, "v1");
		for (int round = 0; round < 5_000; round++) {
			byte[] body = valid.getBytes(StandardCharsets.UTF_8);
			for (int edit = 0; edit < 1 + random.nextInt(3); edit++) {
				body[random.nextInt(body.length)] = (byte) random.nextInt(256);
			}
			JsonInput.parse(Arrays.copyOf(body, body.length - random.nextInt(2) * random.nextInt(body.length)))
				.peek((input) -> {
					input.number("baseVersion");
					input.texts("put");
					input.textList("removed");
					Assert.assertNotNull(input.finish());
				})
				.peekLeft((problem) -> Assert.assertNotNull(problem.toString()));
		}
	}

	@Test
	public void bodyOverTheLimitIsRefused() throws Exception {
		String body = "\"" + "x".repeat(OperatorApi.MAXIMUM_BODY_BYTES) + "\"";
		Assert.assertEquals(send("POST", "/v1/changes", body).statusCode(), 413);
	}

	@Test
	public void randomBytesDoNotStopTheServer() throws Exception {
		Random random = new Random(20261204);
		for (int round = 0; round < 100; round++) {
			try (Socket socket = new Socket(this.address.getAddress(), this.address.getPort())) {
				byte[] noise = new byte[random.nextInt(400)];
				random.nextBytes(noise);
				if (random.nextBoolean()) {
					socket.getOutputStream().write("POST /v1/%ff%/".getBytes(StandardCharsets.US_ASCII));
				}
				socket.getOutputStream().write(noise);
			}
		}
		Assert.assertEquals(send("GET", "/v1/status", "").statusCode(), 200);
	}

	private HttpResponse<String> send(String method, String path, String body) throws Exception {
		URI uri = URI.create("http://127.0.0.1:" + this.address.getPort() + path);
		return this.client.send(
				HttpRequest.newBuilder(uri).method(method, HttpRequest.BodyPublishers.ofString(body)).build(),
				HttpResponse.BodyHandlers.ofString());
	}

	private static String change(String id, long base, String current) throws IOException {
		Change change = TestMesh.change(id, base, "  desk: { current: " + current + " }\n");
		return JSON.std.composeString()
			.startObject()
			.put("changeId", id)
			.put("baseVersion", base)
			.put("operator", change.operator())
			.putObject("put", change.put())
			.end()
			.finish();
	}

	private static Map<String, Object> json(HttpResponse<String> response) throws IOException {
		return JSON.std.mapFrom(response.body());
	}

	/**
	 * Member administration with a fixed set of members.
	 */
	private static final class FakeMembers implements MemberAdministration {

		@Override
		public MemberStatus status() {
			return new MemberStatus("control-1", "leader", 3, 7, Optional.of("control-1"), Optional.empty());
		}

		@Override
		public List<Member> members() {
			return List.of(new Member("control-1", "127.0.0.1:7400", true, true, 7));
		}

		@Override
		public Either<CommandFailure, List<Member>> add(String id, String address) {
			return refused();
		}

		@Override
		public Either<CommandFailure, List<Member>> remove(String id) {
			return refused();
		}

		private static Either<CommandFailure, List<Member>> refused() {
			return Either.left(new CommandFailure(ExecutionVerdict.NOT_RUN, "fixed members", Optional.empty()));
		}

	}

}
