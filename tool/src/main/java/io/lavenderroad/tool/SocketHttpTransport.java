package io.lavenderroad.tool;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.lavenderroad.core.http.ResponseReader;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.impl.io.DefaultHttpRequestWriter;
import org.apache.hc.core5.http.impl.io.SessionOutputBufferImpl;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;

/**
 * Transport with one connection for each request.
 */
final class SocketHttpTransport implements HttpTransport {

	private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

	/**
	 * Longer than a member needs: it answers or fails the request within a few seconds,
	 * since a leader without a quorum steps down.
	 */
	private static final int RESPONSE_TIMEOUT_MILLIS = 10_000;

	private static final int MAXIMUM_RESPONSE_BYTES = 64 * 1024 * 1024;

	private static final int BUFFER_BYTES = 4 * 1024;

	private final int responseTimeoutMillis;

	SocketHttpTransport() {
		this(RESPONSE_TIMEOUT_MILLIS);
	}

	SocketHttpTransport(int responseTimeoutMillis) {
		this.responseTimeoutMillis = responseTimeoutMillis;
	}

	@Override
	public Response send(String address, String method, String path, Optional<String> body) throws IOException {
		URI target = URI.create("http://" + address + path);
		try (Socket socket = new Socket()) {
			connect(socket, target);
			CompletableFuture<Void> timeout = new CompletableFuture<Void>().completeOnTimeout(null,
					this.responseTimeoutMillis, TimeUnit.MILLISECONDS);
			timeout.thenRun(() -> closeQuietly(socket));
			try {
				return exchange(socket, target, method, body);
			}
			catch (IOException ex) {
				throw timeout.isDone() ? new SocketTimeoutException("none within " + this.responseTimeoutMillis + " ms")
						: ex;
			}
			finally {
				timeout.cancel(false);
			}
		}
	}

	private static void connect(Socket socket, URI target) throws ConnectException {
		if (target.getHost() == null || target.getPort() < 0) {
			throw new IllegalArgumentException(target.getRawAuthority() + " is not host:port");
		}
		try {
			socket.connect(new InetSocketAddress(target.getHost(), target.getPort()), CONNECT_TIMEOUT_MILLIS);
		}
		catch (ConnectException ex) {
			throw ex;
		}
		catch (IOException ex) {
			throw (ConnectException) new ConnectException(ex.getMessage()).initCause(ex);
		}
	}

	private static Response exchange(Socket socket, URI target, String method, Optional<String> body)
			throws IOException {
		try {
			write(socket.getOutputStream(), target, method, body);
			ResponseReader reader = new ResponseReader(socket.getInputStream());
			ClassicHttpResponse head = reader.readHead();
			return new Response(head.getCode(), read(reader.body(head)));
		}
		catch (HttpException ex) {
			throw new IOException("the response is malformed: " + ex.getMessage(), ex);
		}
	}

	private static void write(OutputStream stream, URI target, String method, Optional<String> body)
			throws IOException, HttpException {
		byte[] content = body.orElse("").getBytes(StandardCharsets.UTF_8);
		ClassicHttpRequest head = new BasicClassicHttpRequest(method, target);
		head.addHeader(HttpHeaders.HOST, target.getRawAuthority());
		head.addHeader(HttpHeaders.CONNECTION, "close");
		if (body.isPresent() || !method.equals("GET")) {
			head.addHeader(HttpHeaders.CONTENT_LENGTH, content.length);
		}
		SessionOutputBufferImpl buffer = new SessionOutputBufferImpl(BUFFER_BYTES);
		new DefaultHttpRequestWriter().write(head, buffer, stream);
		buffer.write(content, stream);
		buffer.flush(stream);
	}

	private static String read(InputStream body) throws IOException {
		byte[] content = body.readNBytes(MAXIMUM_RESPONSE_BYTES + 1);
		if (content.length > MAXIMUM_RESPONSE_BYTES) {
			throw new IOException("the response is over " + MAXIMUM_RESPONSE_BYTES + " bytes");
		}
		return new String(content, StandardCharsets.UTF_8);
	}

	private static void closeQuietly(Socket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			// The exchange fails and reports the timeout.
		}
	}

}
