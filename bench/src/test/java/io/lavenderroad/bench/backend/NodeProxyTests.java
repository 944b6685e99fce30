package io.lavenderroad.bench.backend;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.function.UnaryOperator;

import io.lavenderroad.model.Evidence;
import io.lavenderroad.model.ObservationKey;
import io.lavenderroad.node.HttpProperties;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against false verdicts, partial or foreign answers, repeated requests that are
 * not idempotent, and drained nodes that accept work. Real sockets, two nodes.
 */
public class NodeProxyTests {

	private final HttpClient client = newClient();

	private LocalMesh mesh;

	@BeforeMethod
	void start() throws IOException {
		this.mesh = new LocalMesh();
		this.mesh.start("entry", "other", "soweto", Behaviour.USUAL, 12, UnaryOperator.identity());
		this.mesh.start("server", "v1", "soweto", Behaviour.USUAL, 12, UnaryOperator.identity());
	}

	@AfterMethod
	void stop() {
		this.mesh.close();
	}

	@Test
	public void answerIsWholeAndBelongsToTheRequest() throws Exception {
		HttpResponse<String> response = send("POST", "/orders", "body of r1", Map.of("Request-Id", "r1"));
		Assert.assertEquals(response.statusCode(), 200);
		Assert.assertEquals(response.body(), "server r1\nbody of r1");
		Assert.assertEquals(header(response, "Mesh-Verdict"), "ran");
		Assert.assertEquals(header(response, "Mesh-Version"), "v1");
		Assert.assertEquals(header(response, "Mesh-Configuration-Version"), "1");
		Assert.assertEquals(this.mesh.member("server").backend().record().starts("r1"), 1);
		Evidence evidence = this.mesh.member("entry").proxy().takeEvidence();
		Assert.assertEquals(evidence.of(new ObservationKey("catalogue", "orders", "v1")).calls(), 1);
		Assert.assertTrue(this.mesh.member("entry").proxy().takeEvidence().isEmpty(), "observation taken twice");
	}

	@Test
	public void unknownServiceAndRouteAreNotRun() throws Exception {
		HttpResponse<String> route = send("GET", "/nothing", "", Map.of());
		Assert.assertEquals(route.statusCode(), 404);
		Assert.assertEquals(header(route, "Mesh-Verdict"), "not-run");
		HttpResponse<String> service = send("GET", "/items", "", Map.of("Mesh-Service", "unknown"));
		Assert.assertEquals(service.statusCode(), 404);
		Assert.assertEquals(header(service, "Mesh-Verdict"), "not-run");
	}

	@Test
	public void partialBodyIsNeverPassedOffAsWhole() throws Exception {
		for (String script : new String[] { "truncate", "no-length" }) {
			HttpResponse<String> response = send("POST", "/orders", "text", Map.of("Stand-In", script));
			Assert.assertEquals(response.statusCode(), 502, script);
			Assert.assertEquals(header(response, "Mesh-Verdict"), "may-have-run", script);
		}
		HttpResponse<String> chunked = send("POST", "/orders", "text", Map.of("Stand-In", "chunked"));
		Assert.assertEquals(chunked.statusCode(), 200);
	}

	private HttpResponse<String> send(String method, String path, String body, Map<String, String> headers)
			throws IOException, InterruptedException {
		HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(this.mesh.member("entry").url() + path))
			.timeout(Duration.ofSeconds(30))
			.setHeader("Mesh-Service", LocalMesh.SERVICE)
			.method(method, HttpRequest.BodyPublishers.ofString(body));
		headers.forEach(request::setHeader);
		return this.client.send(request.build(), HttpResponse.BodyHandlers.ofString());
	}

	private static String header(HttpResponse<?> response, String name) {
		return response.headers().firstValue(name).orElse("");
	}

	private static HttpClient newClient() {
		HttpProperties.set();
		return HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
	}

}
