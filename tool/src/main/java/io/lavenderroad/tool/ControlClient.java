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
 * Client of the operators' API. It goes through the addresses of the control members
 * until one gives a final answer, and starts with the leader as soon as one is named.
 */
final class ControlClient {

	/**
	 * Time between two rounds through the addresses; an election takes a few of them.
	 */
	private static final long ROUND_PAUSE_MILLIS = 300;

	/**
	 * Time after which the client gives up if no address accepts connections. A member
	 * that restarts listens again sooner.
	 */
	static final long UNREACHABLE_MILLIS = 5_000;

	private static final int MISDIRECTED = 421;

	private static final int UNAVAILABLE = 503;

	private static final int TIMEOUT = 504;

	private static final int INTERNAL_ERROR = 500;

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
	 * @param sleeper waits between rounds
	 * @param addresses {@code host:port} of each member
	 * @param timeLimitMillis time after which the client gives up
	 */
	ControlClient(HttpTransport transport, Clock clock, Sleeper sleeper, List<String> addresses, long timeLimitMillis) {
		this.transport = transport;
		this.clock = clock;
		this.sleeper = sleeper;
		this.addresses = List.copyOf(addresses);
		this.timeLimitMillis = timeLimitMillis;
	}

	/**
	 * Reads from a member. Reading twice does no harm, so every failure leads to the next
	 * address.
	 * @param path path and query
	 * @return the final answer
	 * @throws ToolException if no member gave one
	 */
	Reply get(String path) {
		return request("GET", path, Optional.empty()).reply();
	}

	/**
	 * Sends a request that has no effect, such as a dry run.
	 * @param path the path
	 * @param body the JSON body
	 * @return the final answer
	 * @throws ToolException if no member gave one
	 */
	Reply query(String path, String body) {
		return request("POST", path, Optional.of(body)).reply();
	}

	/**
	 * Sends a request that may be sent again, because the members recognise a resend.
	 * @param method method of the request
	 * @param path the path
	 * @param body the JSON body
	 * @return the final answer, or none if no member gave one
	 */
	Result send(String method, String path, Optional<String> body) {
		return attemptAll(method, path, body, true);
	}

	/**
	 * Sends a request that must not be sent again after its answer was lost.
	 * @param method method of the request
	 * @param path the path
	 * @param body the JSON body
	 * @return the final answer, or none if no member gave one
	 */
	Result sendOnce(String method, String path, Optional<String> body) {
		return attemptAll(method, path, body, false);
	}

	/**
	 * Lets the next request start with the leader.
	 */
	void findLeader() {
		String address = get("/v1/status").json().text("leaderAddress");
		if (!address.isEmpty()) {
			this.leader = address;
		}
	}

	private Result request(String method, String path, Optional<String> body) {
		Result result = attemptAll(method, path, body, true);
		if (result.answer().isEmpty()) {
			throw new ToolException(ExitCode.FAILURE, "no control member gave a final answer: " + result.lastFailure());
		}
		return result;
	}

	private Result attemptAll(String method, String path, Optional<String> body, boolean resend) {
		long startMillis = this.clock.millis();
		long endMillis = startMillis + this.timeLimitMillis;
		boolean answerLost = false;
		boolean reached = false;
		String lastFailure = "";
		while (true) {
			Deque<String> round = firstAddresses();
			Set<String> tried = new LinkedHashSet<>();
			while (!round.isEmpty()) {
				String address = round.removeFirst();
				if (!tried.add(address)) {
					continue;
				}
				Attempt attempt = attempt(address, method, path, body);
				if (attempt.reply().isPresent()) {
					return new Result(attempt.reply(), answerLost, lastFailure);
				}
				answerLost |= attempt.answerLost();
				reached |= attempt.reached();
				// That a member does not lead says less than the failure of the leader.
				if (lastFailure.isEmpty() || attempt.leader().isEmpty()) {
					lastFailure = address + ": " + attempt.failure();
				}
				if (answerLost && !resend) {
					return new Result(Optional.empty(), true, lastFailure);
				}
				attempt.leader().ifPresent(round::addFirst);
			}
			if (!reached && this.clock.millis() - startMillis >= UNREACHABLE_MILLIS) {
				return new Result(Optional.empty(), false,
						"none of " + String.join(", ", tried) + " accepts connections; last failure " + lastFailure);
			}
			if (this.clock.millis() + ROUND_PAUSE_MILLIS >= endMillis) {
				return new Result(Optional.empty(), answerLost, lastFailure);
			}
			this.sleeper.sleep(ROUND_PAUSE_MILLIS);
		}
	}

	private Attempt attempt(String address, String method, String path, Optional<String> body) {
		HttpTransport.Answer answer;
		try {
			answer = this.transport.send(address, method, path, body);
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
			json = JsonValue.parse(answer.body());
		}
		catch (IOException ex) {
			return Attempt.failed(true, "an answer that is no JSON object (" + ex.getMessage() + ")", Optional.empty());
		}
		return switch (answer.status()) {
			case MISDIRECTED, UNAVAILABLE -> Attempt.failed(false, json.text("reason"),
					Optional.of(json.text("leaderAddress")).filter((named) -> !named.isEmpty()));
			case TIMEOUT, INTERNAL_ERROR -> Attempt.failed(true, json.text("reason"), Optional.empty());
			default -> {
				this.leader = address;
				yield new Attempt(Optional.of(new Reply(answer.status(), json, answer.body())), true, false, "",
						Optional.empty());
			}
		};
	}

	private Deque<String> firstAddresses() {
		List<String> first = new ArrayList<>();
		if (!this.leader.isEmpty()) {
			first.add(this.leader);
		}
		first.addAll(this.addresses);
		return new ArrayDeque<>(first);
	}

	/**
	 * Waits.
	 */
	@FunctionalInterface
	interface Sleeper {

		/**
		 * Waits for some time.
		 * @param millis milliseconds
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
	 * @param answerLost whether an earlier attempt may have run
	 * @param lastFailure why the last attempt without answer failed
	 */
	record Result(Optional<Reply> answer, boolean answerLost, String lastFailure) {

		Reply reply() {
			return this.answer.orElseThrow();
		}

	}

	private record Attempt(Optional<Reply> reply, boolean reached, boolean answerLost, String failure,
			Optional<String> leader) {

		static Attempt failed(boolean answerLost, String failure, Optional<String> leader) {
			return new Attempt(Optional.empty(), true, answerLost, failure, leader);
		}

		static Attempt unreachable(String failure) {
			return new Attempt(Optional.empty(), false, false, failure, Optional.empty());
		}

	}

}
