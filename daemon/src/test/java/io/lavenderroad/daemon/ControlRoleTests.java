package io.lavenderroad.daemon;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import io.lavenderroad.core.kernel.Kernel;
import io.lavenderroad.daemon.DaemonSettings.BackendSettings;
import io.lavenderroad.daemon.DaemonSettings.MemberSettings;
import io.lavenderroad.daemon.DaemonSettings.Ports;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against a control member that joins later and never receives the nodes that are
 * attached to the other members, and against an empty metrics page.
 */
public class ControlRoleTests {

	private static final String ADDRESS = "127.0.0.1";

	private static final long TIMEOUT_NANOS = 60_000_000_000L;

	private final HttpClient client = HttpClient.newHttpClient();

	@Test
	public void joiningMemberReceivesTheNodesOfTheOtherMembers() throws Exception {
		Path folder = Files.createTempDirectory("control-role");
		Kernel kernel = Kernel.load();
		List<RunningRole> running = new ArrayList<>();
		try {
			Ports first = ports();
			String firstFrames = ADDRESS + ":" + first.frames();
			DaemonSettings.Builder settings = builder("control-1", "control", first).dataFolder(folder.resolve("1"))
				.members(List.of(new MemberSettings("control-1", firstFrames)));
			running.add(ControlRole.start(settings.build(), kernel));
			running.add(NodeRole.start(builder("node-1", "node", ports()).seeds(List.of(address(first.frames())))
				.backend(new BackendSettings("catalogue", "v1", address(first.admin()), 1, 100, "", "", 0))
				.build(), kernel));
			await(first, "/v1/nodes", "\"nodes\" : 1");
			await(first, "/metrics", "lavenderroad_control_nodes 1\n");
			// Only the leader answers this read.
			await(first, "/v1/configuration", "\"lastChangeVersion\"");
			Ports second = ports();
			running.add(ControlRole
				.start(builder("control-2", "control", second).dataFolder(folder.resolve("2")).build(), kernel));
			String body = "{\"id\":\"control-2\",\"address\":\"" + ADDRESS + ":" + second.frames() + "\"}";
			HttpRequest join = HttpRequest.newBuilder(uri(first, "/v1/members"))
				.POST(HttpRequest.BodyPublishers.ofString(body))
				.build();
			HttpResponse<String> joined = this.client.send(join, HttpResponse.BodyHandlers.ofString());
			Assert.assertEquals(joined.statusCode(), 200, joined.body());
			await(second, "/v1/nodes", "\"nodes\" : 1");
		}
		finally {
			running.reversed().forEach(RunningRole::shutDown);
		}
	}

	private void await(Ports ports, String path, String expected) throws IOException, InterruptedException {
		long start = System.nanoTime();
		String answer = "";
		while (!answer.contains(expected) && System.nanoTime() - start < TIMEOUT_NANOS) {
			Thread.sleep(100);
			answer = this.client
				.send(HttpRequest.newBuilder(uri(ports, path)).build(), HttpResponse.BodyHandlers.ofString())
				.body();
		}
		Assert.assertTrue(answer.contains(expected), answer);
	}

	private static DaemonSettings.Builder builder(String id, String role, Ports ports) {
		return DaemonSettings.builder().identity("test", id, role).location("gauteng", "soweto", ADDRESS, ports);
	}

	private static URI uri(Ports ports, String path) {
		return URI.create("http://" + ADDRESS + ":" + ports.http() + path);
	}

	private static InetSocketAddress address(int port) throws IOException {
		return new InetSocketAddress(InetAddress.getByName(ADDRESS), port);
	}

	private static Ports ports() throws IOException {
		try (ServerSocket frames = new ServerSocket(0);
				ServerSocket http = new ServerSocket(0);
				ServerSocket admin = new ServerSocket(0)) {
			return new Ports(frames.getLocalPort(), frames.getLocalPort(), http.getLocalPort(), admin.getLocalPort());
		}
	}

}
