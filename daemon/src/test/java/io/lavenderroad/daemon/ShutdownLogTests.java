package io.lavenderroad.daemon;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against log lines that are lost when a process stops: without them operators
 * cannot see whether it finished its work.
 */
public class ShutdownLogTests {

	@Test
	public void processLogsUntilItHasStopped() throws Exception {
		Path file = Files.createTempFile("node", ".yml");
		Files.writeString(file, settings());
		Process process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
				System.getProperty("java.class.path"), Main.class.getName(), "run", file.toString())
			.redirectErrorStream(true)
			.start();
		try (BufferedReader output = process.inputReader()) {
			String line = output.readLine();
			while (line != null && !line.contains("daemon: Started")) {
				line = output.readLine();
			}
			Assert.assertNotNull(line, "the node did not start");
			process.toHandle().destroy();
			List<String> rest = output.lines().toList();
			Assert.assertTrue(rest.stream().anyMatch((text) -> text.contains("daemon: Stopped node-1.")),
					"last lines: " + rest);
		}
		finally {
			process.destroyForcibly();
			Files.deleteIfExists(file);
		}
	}

	private static String settings() throws IOException {
		try (ServerSocket frames = new ServerSocket(0);
				ServerSocket http = new ServerSocket(0);
				ServerSocket admin = new ServerSocket(0)) {
			return """
					cluster: gauteng
					id: node-1
					role: node
					region: gauteng
					failure-domain: germiston
					address: 127.0.0.1
					ports: { frames: %d, http: %d, admin: %d }
					seeds: [ "127.0.0.1:1" ]
					backend: { service: catalogue, version: v1, http-port: 9001, slots: 12 }
					""".formatted(frames.getLocalPort(), http.getLocalPort(), admin.getLocalPort());
		}
	}

}
