package io.lavenderroad.bench.cluster;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.fasterxml.jackson.jr.ob.JSON;
import io.lavenderroad.bench.history.HistoryEvent;
import io.lavenderroad.core.Clock;
import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.core.LavenderroadException;

/**
 * Client of the operators' HTTP API for experiments. Tries the control members in turn
 * until one of them answers as the leader.
 */
public final class OperatorClient {

	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(3);

	private static final int OK = 200;

	private static final int CONFLICT = 409;

	private static final int BAD_REQUEST = 400;

	private static final long RETRY_MILLIS = 100;

	private final Supplier<List<String>> addresses;

	private final Consumer<HistoryEvent> history;

	private final Clock clock;

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofSeconds(1))
		.build();

	/**
	 * Creates a client.
	 * @param addresses supplies {@code ip:port} of each control member
	 * @param history receives the events of each change
	 * @param clock clock of the history
	 */
	public OperatorClient(Supplier<List<String>> addresses, Consumer<HistoryEvent> history, Clock clock) {
		this.addresses = addresses;
		this.history = history;
		this.clock = clock;
	}

	/**
	 * Reads a resource from the first member that answers with status 200.
	 * @param path the path, such as {@code /v1/status}
	 * @return the document, or empty if no member answered with status 200
	 */
	public Optional<Map<String, Object>> get(String path) {
		for (String address : this.addresses.get()) {
			Optional<Answer> answer = send(address, HttpRequest.newBuilder(uri(address, path)).GET());
			if (answer.isPresent() && answer.get().status() == OK) {
				return Optional.of(answer.get().body());
			}
		}
		return Optional.empty();
	}

	/**
	 * Reads a resource of one member.
	 * @param address {@code ip:port} of the member
	 * @param path the path
	 * @return the document, or empty if it did not answer with status 200
	 */
	public Optional<Map<String, Object>> get(String address, String path) {
		return send(address, HttpRequest.newBuilder(uri(address, path)).GET()).filter((answer) -> answer.status() == OK)
			.map(Answer::body);
	}

	/**
	 * Sends a change repeatedly until its outcome is known or the timeout expires.
	 * @param changeId id of the change
	 * @param baseVersion version that the change is based on
	 * @param documents texts of the documents by name
	 * @param timeoutMillis timeout for all attempts together
	 * @return the outcome; if accepted, with the version that the change made
	 */
	public Outcome apply(String changeId, long baseVersion, Map<String, String> documents, long timeoutMillis) {
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("changeId", changeId);
		body.put("baseVersion", baseVersion);
		body.put("operator", "experiment");
		body.put("put", documents);
		body.put("removed", List.of());
		this.history.accept(new HistoryEvent.ChangeSent(this.clock.millis(), changeId, baseVersion));
		Outcome outcome = sendUntilDecided("/v1/changes", body, this.clock.millis() + timeoutMillis);
		this.history.accept(
				new HistoryEvent.ChangeAnswered(this.clock.millis(), changeId, outcome.verdict(), outcome.version()));
		return outcome;
	}

	/**
	 * Sends a modifying request to the members in turn until one answers with status 200.
	 * @param method the HTTP method
	 * @param path the path
	 * @param body the document, or null for none
	 * @return the answer with status 200, else the last answer, or empty if no member
	 * answered
	 */
	public Optional<Answer> change(String method, String path, Map<String, Object> body) {
		Optional<Answer> last = Optional.empty();
		for (String address : this.addresses.get()) {
			Optional<Answer> answer = send(address, request(address, method, path, body));
			last = answer.isPresent() ? answer : last;
			if (answer.isPresent() && answer.get().status() == OK) {
				return answer;
			}
		}
		return last;
	}

	private Outcome sendUntilDecided(String path, Map<String, Object> body, long deadlineMillis) {
		boolean mayHaveRun = false;
		while (this.clock.millis() < deadlineMillis) {
			for (String address : this.addresses.get()) {
				Optional<Answer> answer = send(address, request(address, "POST", path, body));
				if (answer.isEmpty()) {
					mayHaveRun = true;
					continue;
				}
				Map<String, Object> document = answer.get().body();
				int status = answer.get().status();
				if (status == OK) {
					return new Outcome(ExecutionVerdict.RAN, ((Number) document.get("version")).longValue(), "");
				}
				if (status == CONFLICT || status == BAD_REQUEST) {
					return new Outcome(ExecutionVerdict.NOT_RUN, 0, String.valueOf(document));
				}
				mayHaveRun |= !"not-run".equals(document.get("verdict"));
			}
			sleep();
		}
		return new Outcome(mayHaveRun ? ExecutionVerdict.MAY_HAVE_RUN : ExecutionVerdict.NOT_RUN, 0, "no leader");
	}

	private HttpRequest.Builder request(String address, String method, String path, Map<String, Object> body) {
		HttpRequest.BodyPublisher publisher = (body != null) ? HttpRequest.BodyPublishers.ofString(toJson(body))
				: HttpRequest.BodyPublishers.noBody();
		return HttpRequest.newBuilder(uri(address, path)).method(method, publisher);
	}

	private Optional<Answer> send(String address, HttpRequest.Builder request) {
		try {
			HttpResponse<String> response = this.client.send(request.timeout(REQUEST_TIMEOUT).build(),
					HttpResponse.BodyHandlers.ofString());
			return Optional.of(new Answer(response.statusCode(), JSON.std.mapFrom(response.body())));
		}
		catch (IOException ex) {
			return Optional.empty();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Optional.empty();
		}
	}

	private static URI uri(String address, String path) {
		return URI.create("http://" + address + path);
	}

	private static String toJson(Map<String, Object> body) {
		try {
			return JSON.std.asString(body);
		}
		catch (IOException ex) {
			throw new LavenderroadException("cannot encode a request", ex);
		}
	}

	private static void sleep() {
		try {
			Thread.sleep(RETRY_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Answer of a member.
	 *
	 * @param status HTTP status
	 * @param body the document
	 */
	public record Answer(int status, Map<String, Object> body) {

	}

	/**
	 * Outcome of a change.
	 *
	 * @param verdict {@code RAN} if accepted
	 * @param version version made by the change if accepted, else 0
	 * @param reason why it was not accepted
	 */
	public record Outcome(ExecutionVerdict verdict, long version, String reason) {

	}

}
