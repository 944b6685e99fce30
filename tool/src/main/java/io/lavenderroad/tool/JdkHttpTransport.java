package io.lavenderroad.tool;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;

/**
 * Transport based on the HTTP client of the JDK.
 */
final class JdkHttpTransport implements HttpTransport {

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

	/**
	 * Longer than a member needs: it answers or fails the request within a few seconds,
	 * since a leader without a quorum steps down.
	 */
	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(CONNECT_TIMEOUT)
		.build();

	@Override
	public Response send(String address, String method, String path, Optional<String> body) throws IOException {
		HttpRequest.BodyPublisher publisher = body.map(HttpRequest.BodyPublishers::ofString)
			.orElseGet(HttpRequest.BodyPublishers::noBody);
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
			.timeout(REQUEST_TIMEOUT)
			.method(method, publisher)
			.build();
		try {
			HttpResponse<String> response = this.client.send(request, HttpResponse.BodyHandlers.ofString());
			return new Response(response.statusCode(), response.body());
		}
		catch (HttpConnectTimeoutException ex) {
			throw (ConnectException) new ConnectException("no connection within " + CONNECT_TIMEOUT.toSeconds() + " s")
				.initCause(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new InterruptedIOException("interrupted");
		}
	}

}
