package io.lavenderroad.node;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.security.GeneralSecurityException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;

import javax.net.ssl.KeyManager;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManager;

import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.core.LavenderroadException;

/**
 * Calls the backend server beside the node over HTTP/1.1. Redirects are passed on and
 * never followed, and nothing is sent twice.
 */
final class BackendClient implements AutoCloseable {

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

	private static final int NO_CONTENT = 204;

	private static final int NOT_MODIFIED = 304;

	private final HttpClient client;

	private final String origin;

	private final int largestAnswerBytes;

	BackendClient(String address, int largestAnswerBytes, ExecutorService executor) {
		this.client = HttpClient.newBuilder()
			.version(HttpClient.Version.HTTP_1_1)
			.followRedirects(HttpClient.Redirect.NEVER)
			.connectTimeout(CONNECT_TIMEOUT)
			.executor(executor)
			.sslContext(withoutTrust())
			.build();
		this.origin = "http://" + address;
		this.largestAnswerBytes = largestAnswerBytes;
	}

	/**
	 * Runs one call.
	 * @param request the call
	 * @param remainingMillis time until the answer is due
	 * @param cancellation ends the exchange early
	 * @return the outcome
	 */
	CallAnswer run(CallRequest request, long remainingMillis, CallCancellation cancellation) {
		if (!request.target().startsWith("/")) {
			return CallAnswer.notRun(HttpStatus.BAD_REQUEST, "path does not start with a slash");
		}
		HttpRequest httpRequest;
		try {
			httpRequest = httpRequest(request, remainingMillis);
		}
		catch (IllegalArgumentException ex) {
			return CallAnswer.notRun(HttpStatus.BAD_REQUEST, "request cannot be passed on: " + ex.getMessage());
		}
		if (cancellation.isCancelled()) {
			return CallAnswer.notRun(HttpStatus.UNAVAILABLE, "caller has gone");
		}
		CompletableFuture<HttpResponse<byte[]>> exchange = this.client.sendAsync(httpRequest,
				HttpResponse.BodyHandlers.limiting(HttpResponse.BodyHandlers.ofByteArray(), this.largestAnswerBytes));
		cancellation.onCancel(() -> exchange.cancel(true));
		try {
			return answer(request, exchange.get());
		}
		catch (ExecutionException ex) {
			return failure(ex.getCause());
		}
		catch (CancellationException ex) {
			return CallAnswer.mayHaveRun(HttpStatus.BAD_GATEWAY, "cancelled, because the caller has gone");
		}
		catch (InterruptedException ex) {
			exchange.cancel(true);
			return CallAnswer.mayHaveRun(HttpStatus.BAD_GATEWAY, "cancelled, because the connection has closed");
		}
	}

	/**
	 * Reads one page of the backend server, for health and load.
	 * @param path path of the page
	 * @param timeoutMillis longest wait
	 * @return status and text
	 * @throws IOException if there is no answer
	 * @throws InterruptedException if the thread is interrupted
	 */
	HttpResponse<String> get(String path, long timeoutMillis) throws IOException, InterruptedException {
		HttpRequest request = HttpRequest.newBuilder(URI.create(this.origin + path))
			.timeout(Duration.ofMillis(timeoutMillis))
			.build();
		return this.client.send(request,
				HttpResponse.BodyHandlers.limiting(HttpResponse.BodyHandlers.ofString(), this.largestAnswerBytes));
	}

	@Override
	public void close() {
		this.client.shutdownNow();
	}

	private HttpRequest httpRequest(CallRequest request, long remainingMillis) {
		HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create(this.origin + request.target()))
			.timeout(Duration.ofMillis(Math.max(1, remainingMillis)))
			.method(request.method(), (request.body().length == 0) ? HttpRequest.BodyPublishers.noBody()
					: HttpRequest.BodyPublishers.ofByteArray(request.body()));
		List<String> headers = request.headers();
		for (int index = 0; index + 1 < headers.size(); index += 2) {
			builder.header(headers.get(index), headers.get(index + 1));
		}
		builder.setHeader(MeshHeaders.DEADLINE_MILLIS, Long.toString(remainingMillis));
		builder.setHeader(MeshHeaders.ATTEMPT_BUDGET, Integer.toString(request.attemptBudget()));
		return builder.build();
	}

	private static CallAnswer answer(CallRequest request, HttpResponse<byte[]> response) {
		boolean shed = response.headers()
			.firstValue(MeshHeaders.BACKEND_VERDICT)
			.filter(ExecutionVerdict.NOT_RUN.label()::equals)
			.isPresent();
		if (shed) {
			return CallAnswer.notRun(HttpStatus.UNAVAILABLE, "backend server shed the request");
		}
		if (!hasProvenLength(request, response)) {
			return CallAnswer.mayHaveRun(HttpStatus.BAD_GATEWAY,
					"backend server stated no body length, so the answer may be partial");
		}
		return CallAnswer.ran(response.statusCode(), MeshHeaders.endToEnd(response.headers().map()), response.body());
	}

	// Tells whether the end of the body was marked. The client itself fails a body that
	// is shorter than stated or lacks the last chunk.
	private static boolean hasProvenLength(CallRequest request, HttpResponse<byte[]> response) {
		int status = response.statusCode();
		if (request.method().equals("HEAD") || status == NO_CONTENT || status == NOT_MODIFIED) {
			return true;
		}
		if (response.headers().firstValue("transfer-encoding").isPresent()) {
			return true;
		}
		return response.headers().firstValueAsLong("content-length").orElse(-1) == response.body().length;
	}

	private static CallAnswer failure(Throwable cause) {
		if (cause instanceof HttpConnectTimeoutException || cause instanceof ConnectException) {
			return CallAnswer.notRun(HttpStatus.UNAVAILABLE, "backend server refused the connection");
		}
		if (cause instanceof HttpTimeoutException) {
			return CallAnswer.mayHaveRun(HttpStatus.GATEWAY_TIMEOUT, "deadline passed while the call was running");
		}
		return CallAnswer.mayHaveRun(HttpStatus.BAD_GATEWAY,
				"backend server broke the exchange: " + MeshHeaders.printable(String.valueOf(cause.getMessage())));
	}

	// The default context reads every trusted certificate of the runtime, about 150,
	// although
	// the backend server on the same VM is called without TLS.
	private static SSLContext withoutTrust() {
		try {
			SSLContext context = SSLContext.getInstance("TLS");
			context.init(new KeyManager[0], new TrustManager[0], null);
			return context;
		}
		catch (GeneralSecurityException ex) {
			throw new LavenderroadException("TLS is part of every Java platform", ex);
		}
	}

}
