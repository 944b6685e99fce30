package io.lavenderroad.tool;

import java.io.IOException;
import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.lavenderroad.core.Clock;

/**
 * Client of the operators' API. It tries the addresses of the control members in turn
 * until one gives a final answer. Once a member has named the leader, the leader is tried
 * first.
 */
final class ControlClient {

	/**
	 * Pause between two rounds of attempts over all addresses; an election takes a few
	 * rounds.
	 */
	private static final long ROUND_PAUSE_MILLIS = 300;

	/**
	 * Timeout in milliseconds when no address accepts connections. A restarting member
	 * accepts connections again within this time.
	 */
	static final long UNREACHABLE_TIMEOUT_MILLIS = 5_000;

	private static final int MISDIRECTED_REQUEST = 421;

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final int GATEWAY_TIMEOUT = 504;

	private static final int INTERNAL_SERVER_ERROR = 500;

	private final HttpTransport transport;

	private final Clock clock;

	private final Sleeper sleeper;

	private final List<String> addresses;

	private final long timeLimitMillis;

	private String leader = "";

	/**
	 * Creates a client.
	 * @param transport sends requests
	 * @param clock source of time
	 * @param sleeper pauses between rounds
	 * @param addresses {@code host:port} of each member
	 * @param timeLimitMillis time limit for all attempts of a request
	 */
	ControlClient(HttpTransport transport, Clock clock, Sleeper sleeper, List<String> addresses, long timeLimitMillis) {
		this.transport = transport;
		this.clock = clock;
		this.sleeper = sleeper;
		this.addresses = List.copyOf(addresses);
		this.timeLimitMillis = timeLimitMillis;
	}

	/**
	 * Reads from a member. Reads are safe to repeat, so every failure is retried at the
	 * next address.
	 * @param path path and query
	 * @return the final answer
	 * @throws ToolException if no member gave a final answer
	 */
	Reply get(String path) {
		return request("GET", path, Optional.empty()).reply();
	}

	/**
	 * Sends a request that has no effect, such as a dry run.
	 * @param path the path
	 * @param body the JSON body
	 * @return the final answer
	 * @throws ToolException if no member gave a final answer
	 */
	Reply query(String path, String body) {
		return request("POST", path, Optional.of(body)).reply();
	}

	/**
	 * Sends a request that may be retried, because the members detect duplicates.
	 * @param method method of the request
	 * @param path the path
	 * @param body the JSON body
	 * @return the final answer, or none if no member gave one
	 */
	Result send(String method, String path, Optional<String> body) {
		return tryMembers(method, path, body, true);
	}

	/**
	 * Sends a request that must not be retried after its answer was lost.
	 * @param method method of the request
	 * @param path the path
	 * @param body the JSON body
	 * @return the final answer, or none if no member gave one
	 */
	Result sendOnce(String method, String path, Optional<String> body) {
		return tryMembers(method, path, body, false);
	}

	/**
	 * Reads the address of the leader, so that the next request is sent to it first.
	 */
	void preferLeader() {
		String address = get("/v1/status").json().text("leaderAddress");
		if (!address.isEmpty()) {
			this.leader = address;
		}
	}

	private Result request(String method, String path, Optional<String> body) {
		Result result = tryMembers(method, path, body, true);
		if (result.answer().isEmpty()) {
			throw new ToolException(ExitCode.FAILURE, "no control member gave a final answer: " + result.lastFailure());
		}
		return result;
	}

	private Result tryMembers(String method, String path, Optional<String> body, boolean resend) {
		long startMillis = this.clock.millis();
		long endMillis = startMillis + this.timeLimitMillis;
		boolean answerLost = false;
		boolean connected = false;
		String lastFailure = "";
		while (true) {
			Deque<String> round = leaderFirst();
			Set<String> tried = new LinkedHashSet<>();
			while (!round.isEmpty()) {
				String address = round.removeFirst();
				if (!tried.add(address)) {
					continue;
				}
				Attempt attempt = tryMember(address, method, path, body);
				if (attempt.reply().isPresent()) {
					return new Result(attempt.reply(), answerLost, lastFailure);
				}
				answerLost |= attempt.answerLost();
				connected |= attempt.connected();
				// A redirect to the leader must not hide the leader's own failure.
				if (lastFailure.isEmpty() || attempt.leader().isEmpty()) {
					lastFailure = address + ": " + attempt.failure();
				}
				if (answerLost && !resend) {
					return new Result(Optional.empty(), true, lastFailure);
				}
				attempt.leader().ifPresent(round::addFirst);
			}
			if (!connected && this.clock.millis() - startMillis >= UNREACHABLE_TIMEOUT_MILLIS) {
				return new Result(Optional.empty(), false,
						"none of " + String.join(", ", tried) + " accepts connections; last failure " + lastFailure);
			}
			if (this.clock.millis() + ROUND_PAUSE_MILLIS >= endMillis) {
				return new Result(Optional.empty(), answerLost, lastFailure);
			}
			this.sleeper.sleep(ROUND_PAUSE_MILLIS);
		}
	}

	private Attempt tryMember(String address, String method, String path, Optional<String> body) {
		HttpTransport.Response response;
		try {
			response = this.transport.send(address, method, path, body);
		}
		catch (ConnectException ex) {
			String reason = Optional.ofNullable(ex.getMessage()).orElse("connection refused");
			return Attempt.unreachable("no connection (" + reason + ")");
		}
		catch (IOException | IllegalArgumentException ex) {
			return Attempt.failed(ex instanceof IOException, "no answer (" + ex.getMessage() + ")", Optional.empty());
		}
		JsonValue json;
		try {
			json = JsonValue.parse(response.body());
		}
		catch (IOException ex) {
			return Attempt.failed(true, "an answer that is no JSON object (" + ex.getMessage() + ")", Optional.empty());
		}
		return switch (response.status()) {
			case MISDIRECTED_REQUEST, SERVICE_UNAVAILABLE -> Attempt.failed(false, json.text("reason"),
					Optional.of(json.text("leaderAddress")).filter((named) -> !named.isEmpty()));
			case GATEWAY_TIMEOUT, INTERNAL_SERVER_ERROR -> Attempt.failed(true, json.text("reason"), Optional.empty());
			default -> {
				this.leader = address;
				yield new Attempt(Optional.of(new Reply(response.status(), json, response.body())), true, false, "",
						Optional.empty());
			}
		};
	}

	private Deque<String> leaderFirst() {
		List<String> first = new ArrayList<>();
		if (!this.leader.isEmpty()) {
			first.add(this.leader);
		}
		first.addAll(this.addresses);
		return new ArrayDeque<>(first);
	}

	/**
	 * Pauses between attempts.
	 */
	@FunctionalInterface
	interface Sleeper {

		/**
		 * Sleeps.
		 * @param millis duration in milliseconds
		 */
		void sleep(long millis);

	}

	/**
	 * Final answer of a member.
	 *
	 * @param status HTTP status
	 * @param json the body
	 * @param text text of the body
	 */
	record Reply(int status, JsonValue json, String text) {

	}

	/**
	 * Result of a request to all members.
	 *
	 * @param answer the final answer, or empty if no member gave one
	 * @param answerLost whether an attempt without an answer may have run
	 * @param lastFailure why the last attempt without a final answer failed
	 */
	record Result(Optional<Reply> answer, boolean answerLost, String lastFailure) {

		Reply reply() {
			return this.answer.orElseThrow();
		}

	}

	private record Attempt(Optional<Reply> reply, boolean connected, boolean answerLost, String failure,
			Optional<String> leader) {

		static Attempt failed(boolean answerLost, String failure, Optional<String> leader) {
			return new Attempt(Optional.empty(), true, answerLost, failure, leader);
		}

		static Attempt unreachable(String failure) {
			return new Attempt(Optional.empty(), false, false, failure, Optional.empty());
		}

	}

}
