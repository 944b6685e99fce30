package io.lavenderroad.control.api;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.regex.Pattern;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import io.lavenderroad.control.state.ChangeRefusal;
import io.lavenderroad.control.state.ChangeService;
import io.lavenderroad.control.state.CommandFailure;
import io.lavenderroad.control.state.CommandOutcome;
import io.lavenderroad.control.state.EvacuationOrders;
import io.lavenderroad.control.state.MeshStateMachine;
import io.lavenderroad.control.state.MoveService;
import io.lavenderroad.control.state.ReadConfirmation;
import io.lavenderroad.core.Location;
import io.lavenderroad.core.Problem;
import io.lavenderroad.model.Change;
import io.lavenderroad.model.ChangeOutcome;
import io.lavenderroad.model.rendering.MeshRenderer;
import io.lavenderroad.policy.quota.TeamUse;
import io.vavr.control.Either;
import org.tinylog.Logger;

/**
 * HTTP API of a control member for operators. Every refusal has a verdict and a reason.
 * Malformed input gets an error response and never stops the server.
 */
public final class OperatorApi implements AutoCloseable {

	/**
	 * Maximum size of a request body in bytes, sufficient for the largest change
	 * including JSON escapes.
	 */
	public static final int MAXIMUM_BODY_BYTES = 4 * MeshRenderer.MAXIMUM_DOCUMENT_BYTES;

	/**
	 * Maximum number of requests with a body that are read and handled at the same time.
	 * Together with the maximum body size it limits the memory for request bodies to 64
	 * MiB.
	 */
	private static final int MAXIMUM_CONCURRENT_BODIES = 16;

	private static final int DEFAULT_HISTORY_ENTRIES = 50;

	private static final int MAXIMUM_HISTORY_ENTRIES = 10_000;

	private static final int MAXIMUM_QUOTE_CHARACTERS = 60;

	/**
	 * Maximum wait for requests in flight at a shutdown. A proposal ends earlier, since a
	 * leader without a quorum steps down within seconds.
	 */
	private static final int SHUTDOWN_TIMEOUT_SECONDS = 10;

	private static final int MAXIMUM_LISTED_FINAL_MOVES = 200;

	private static final Pattern REASON = Pattern.compile("[^\\p{Cntrl}]{0,500}");

	private static final Pattern MEMBER_ID = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,99}");

	private static final Pattern MEMBER_ADDRESS = Pattern.compile("[0-9A-Fa-f.:\\[\\]]{2,45}:[0-9]{1,5}");

	/**
	 * Maximum time to receive a request. Without it, a client that stops in the middle of
	 * a request would hold its connection forever.
	 */
	private static final String REQUEST_TIMEOUT_SECONDS = "30";

	private static final String MAXIMUM_CONNECTIONS = "500";

	static {
		setPropertyIfAbsent("sun.net.httpserver.maxReqTime", REQUEST_TIMEOUT_SECONDS);
		setPropertyIfAbsent("jdk.httpserver.maxConnections", MAXIMUM_CONNECTIONS);
	}

	private final Semaphore bodyPermits = new Semaphore(MAXIMUM_CONCURRENT_BODIES);

	private final MeshStateMachine stateMachine;

	private final ChangeService changes;

	private final MoveService moves;

	private final EvacuationOrders evacuations;

	private final ReadConfirmation confirmation;

	private final MemberAdministration members;

	private final ConvergenceView convergence;

	private final Supplier<String> metrics;

	private final Map<String, HttpHandler> additionalHandlers = new TreeMap<>();

	private Supplier<List<TeamUse>> teamUses = List::of;

	private HttpServer server;

	private ExecutorService executor;

	/**
	 * Creates the API.
	 * @param stateMachine state machine of this member
	 * @param changes applies changes of documents
	 * @param moves withdraws moves
	 * @param evacuations begins and finishes evacuations
	 * @param confirmation makes reads linearizable
	 * @param members administration of the members
	 * @param convergence versions that are active on nodes
	 * @param metrics supplies the metrics as text
	 */
	public OperatorApi(MeshStateMachine stateMachine, ChangeService changes, MoveService moves,
			EvacuationOrders evacuations, ReadConfirmation confirmation, MemberAdministration members,
			ConvergenceView convergence, Supplier<String> metrics) {
		this.stateMachine = stateMachine;
		this.changes = changes;
		this.moves = moves;
		this.evacuations = evacuations;
		this.confirmation = confirmation;
		this.members = members;
		this.convergence = convergence;
		this.metrics = metrics;
	}

	/**
	 * Adds handlers of other paths to the server. Must be called before the start.
	 * @param added handlers by path
	 */
	public void addHandlers(Map<String, HttpHandler> added) {
		this.additionalHandlers.putAll(added);
	}

	/**
	 * Sets the source of the use of quotas. Must be called before the start.
	 * @param uses supplies the use of each team with a quota, on the leader
	 */
	public void teamUses(Supplier<List<TeamUse>> uses) {
		this.teamUses = uses;
	}

	/**
	 * Starts the server.
	 * @param address address to bind; port 0 selects a free port
	 * @return the bound address
	 * @throws IOException if the address cannot be bound
	 */
	public InetSocketAddress start(InetSocketAddress address) throws IOException {
		this.server = HttpServer.create(address, 0);
		this.executor = Executors.newVirtualThreadPerTaskExecutor();
		this.server.setExecutor(this.executor);
		this.server.createContext("/", this::handle);
		this.additionalHandlers.forEach(this.server::createContext);
		this.server.start();
		return this.server.getAddress();
	}

	@Override
	public void close() {
		if (this.server != null) {
			this.server.stop(SHUTDOWN_TIMEOUT_SECONDS);
			this.executor.close();
		}
	}

	private void handle(HttpExchange exchange) {
		try (exchange) {
			ApiResponse response;
			try {
				response = respond(exchange);
			}
			catch (RuntimeException ex) {
				Logger.error(ex, "api: request {} {} failed", exchange.getRequestMethod(), exchange.getRequestURI());
				response = ApiResponse.failed("internal error: " + ex);
			}
			send(exchange, response);
		}
		catch (IOException ex) {
			Logger.debug("api: connection to {} failed: {}", exchange.getRemoteAddress(), ex.getMessage());
		}
	}

	private ApiResponse respond(HttpExchange exchange) throws IOException {
		if (!exchange.getRequestMethod().equals("POST")) {
			return respond(exchange, new byte[0]);
		}
		if (!this.bodyPermits.tryAcquire()) {
			return ApiResponse.notRun(ApiResponse.UNAVAILABLE,
					"more than " + MAXIMUM_CONCURRENT_BODIES + " requests at once");
		}
		try {
			return readAndRespond(exchange);
		}
		finally {
			this.bodyPermits.release();
		}
	}

	private ApiResponse readAndRespond(HttpExchange exchange) throws IOException {
		byte[] body;
		try (InputStream input = exchange.getRequestBody()) {
			body = input.readNBytes(MAXIMUM_BODY_BYTES + 1);
		}
		if (body.length > MAXIMUM_BODY_BYTES) {
			return ApiResponse.notRun(ApiResponse.TOO_LARGE, "the body is over " + MAXIMUM_BODY_BYTES + " bytes");
		}
		return respond(exchange, body);
	}

	private ApiResponse respond(HttpExchange exchange, byte[] body) {
		String method = exchange.getRequestMethod();
		String path = exchange.getRequestURI().getPath();
		if (path == null || !path.startsWith("/")) {
			return ApiResponse.invalid(List.of(new Problem(Location.of("request line"),
					"'" + exchange.getRequestURI() + "'", "a path that starts with a slash")));
		}
		List<String> segments = Arrays.asList(path.substring(1).split("/", -1));
		String resource = (segments.size() > 1) ? segments.get(0) + "/" + segments.get(1) : segments.get(0);
		return switch (resource) {
			case "metrics" -> get(method, segments, 1,
					() -> new ApiResponse(ApiResponse.OK, "text/plain; charset=utf-8", this.metrics.get()));
			case "v1/status" -> get(method, segments, 2, this::status);
			case "v1/changes" -> changes(method, segments, body);
			case "v1/diff" -> post(method, segments, 2, body, this::diff);
			case "v1/history" -> get(method, segments, 2, () -> history(exchange.getRequestURI().getRawQuery()));
			case "v1/configuration" -> get(method, segments, 2, this::configuration);
			case "v1/moves" -> moves(method, segments, body, exchange.getRequestURI().getRawQuery());
			case "v1/evacuations" -> evacuations(method, segments);
			case "v1/members" -> members(method, segments, body);
			case "v1/teams" -> get(method, segments, 2, () -> afterConfirmation(
					() -> ApiResponse.json(ApiResponse.OK, ApiJson.teams(this.teamUses.get()))));
			case "v1/nodes" -> get(method, segments, 2, () -> ApiResponse.json(ApiResponse.OK,
					ApiJson.nodes(this.stateMachine.configuration().version(), this.convergence.convergence())));
			default -> unknownPath();
		};
	}

	private ApiResponse status() {
		return ApiResponse.json(ApiResponse.OK,
				ApiJson.status(this.members.status(), this.stateMachine.configuration(),
						this.stateMachine.lastChangeVersion(), this.stateMachine.appliedIndex(),
						this.stateMachine.activeMoves(), this.convergence.convergence()));
	}

	private ApiResponse changes(String method, List<String> segments, byte[] body) {
		if (segments.size() == 2) {
			return post(method, segments, 2, body, this::apply);
		}
		return get(method, segments, 3, () -> this.changes.outcome(segments.get(2))
			.fold(ApiResponse::of,
					(outcome) -> outcome.map((known) -> ApiResponse.json(ApiResponse.OK, ApiJson.outcome(known)))
						.orElseGet(() -> ApiResponse.notRun(ApiResponse.NOT_FOUND,
								"change " + segments.get(2) + " has not run so far"))));
	}

	private ApiResponse apply(JsonInput input) {
		Change change = new Change(input.text("changeId", Optional.empty()), input.number("baseVersion"),
				input.text("operator", Optional.empty()), input.texts("put"), input.textList("removed"));
		return ifValid(input, () -> this.changes.apply(change).fold(ApiResponse::of, OperatorApi::outcome));
	}

	private static ApiResponse outcome(ChangeOutcome outcome) {
		return ApiResponse.json(outcome.accepted() ? ApiResponse.OK : ApiResponse.CONFLICT, ApiJson.outcome(outcome));
	}

	private ApiResponse diff(JsonInput input) {
		SortedMap<String, String> put = input.texts("put");
		List<String> removed = input.textList("removed");
		return ifValid(input, () -> this.changes.diff(put, removed)
			.fold(ApiResponse::of, (dryRun) -> ApiResponse.json(ApiResponse.OK, ApiJson.dryRun(dryRun))));
	}

	private ApiResponse history(String query) {
		int limit = DEFAULT_HISTORY_ENTRIES;
		if (query != null) {
			if (!query.matches("limit=[0-9]{1,5}")) {
				return invalidQuery(query, "limit", "limit=N with N from 0 to " + MAXIMUM_HISTORY_ENTRIES);
			}
			limit = Math.min(MAXIMUM_HISTORY_ENTRIES, Integer.parseInt(query.substring("limit=".length())));
		}
		int maximum = limit;
		return afterConfirmation(
				() -> ApiResponse.json(ApiResponse.OK, ApiJson.history(this.stateMachine.history(maximum))));
	}

	private static ApiResponse invalidQuery(String query, String key, String allowed) {
		String shown = query.substring(0, Math.min(query.length(), MAXIMUM_QUOTE_CHARACTERS));
		return ApiResponse.invalid(List.of(new Problem(new Location("query", 0, 0, key), "'" + shown + "'", allowed)));
	}

	private ApiResponse configuration() {
		return afterConfirmation(
				() -> ApiResponse.json(ApiResponse.OK, ApiJson.configuration(this.stateMachine.configuration(),
						this.stateMachine.lastChangeVersion(), this.stateMachine.documents())));
	}

	private ApiResponse moves(String method, List<String> segments, byte[] body, String query) {
		if (segments.size() == 2) {
			return get(method, segments, 2, () -> listMoves(query));
		}
		String id = segments.get(2);
		if (segments.size() == 3) {
			return get(method, segments, 3, () -> afterConfirmation(() -> move(id)));
		}
		if (!segments.get(3).equals("withdraw")) {
			return unknownPath();
		}
		return post(method, segments, 4, body, (input) -> withdraw(id, input));
	}

	private ApiResponse listMoves(String query) {
		if (query == null) {
			return afterConfirmation(() -> ApiResponse.json(ApiResponse.OK,
					ApiJson.moves(this.stateMachine.moves(MAXIMUM_LISTED_FINAL_MOVES))));
		}
		if (!query.matches("service=[a-z0-9-]{1,63}")) {
			return invalidQuery(query, "service", "service=NAME");
		}
		String service = query.substring("service=".length());
		return afterConfirmation(() -> ApiResponse.json(ApiResponse.OK, ApiJson
			.moves(this.stateMachine.moves().stream().filter((move) -> move.service().equals(service)).toList())));
	}

	private ApiResponse move(String id) {
		return this.stateMachine.move(id)
			.map((move) -> ApiResponse.json(ApiResponse.OK, ApiJson.move(move)))
			.orElseGet(() -> ApiResponse.notRun(ApiResponse.NOT_FOUND, "move " + id + " is unknown"));
	}

	private ApiResponse withdraw(String id, JsonInput input) {
		String operator = input.matching("operator", ChangeService.OPERATOR, "a name of at most 100 characters");
		String reason = input.matching("reason", REASON, "one line of at most 500 characters");
		return ifValid(input, () -> {
			Either<CommandFailure, CommandOutcome> outcome = this.moves.withdrawByOperator(id, operator, reason);
			if (outcome.isLeft()) {
				return ApiResponse.of(outcome.getLeft());
			}
			return outcome.get().applied() ? move(id)
					: ApiResponse.notRun(ApiResponse.CONFLICT, outcome.get().reason());
		});
	}

	private ApiResponse evacuations(String method, List<String> segments) {
		if (segments.size() != 3) {
			return get(method, segments, 2, () -> this.evacuations.evacuated()
				.fold(ApiResponse::of, (counts) -> ApiResponse.json(ApiResponse.OK, ApiJson.evacuations(counts))));
		}
		String failureDomain = segments.get(2);
		return switch (method) {
			case "PUT" -> evacuation(failureDomain, true, this.evacuations.begin(failureDomain));
			case "DELETE" -> evacuation(failureDomain, false, this.evacuations.finish(failureDomain));
			default -> methodNotAllowed("PUT and DELETE");
		};
	}

	private static ApiResponse evacuation(String failureDomain, boolean evacuated,
			Either<ChangeRefusal, Optional<CommandOutcome>> result) {
		if (result.isLeft()) {
			return ApiResponse.of(result.getLeft());
		}
		if (result.get().isEmpty()) {
			return ApiResponse.notRun(ApiResponse.NOT_FOUND, "failure domain " + failureDomain + " is unknown");
		}
		CommandOutcome outcome = result.get().get();
		return outcome.applied()
				? ApiResponse.json(ApiResponse.OK, ApiJson.evacuation(failureDomain, evacuated, outcome.version()))
				: ApiResponse.notRun(ApiResponse.CONFLICT, outcome.reason());
	}

	private ApiResponse members(String method, List<String> segments, byte[] body) {
		if (segments.size() == 2 && method.equals("POST")) {
			return post(method, segments, 2, body, this::addMember);
		}
		if (segments.size() == 2) {
			return get(method, segments, 2,
					() -> ApiResponse.json(ApiResponse.OK, ApiJson.members(this.members.members())));
		}
		if (segments.size() != 3) {
			return unknownPath();
		}
		return method.equals("DELETE") ? members(this.members.remove(segments.get(2))) : methodNotAllowed("DELETE");
	}

	private ApiResponse addMember(JsonInput input) {
		String id = input.matching("id", MEMBER_ID, "letters, digits, dots, underscores and hyphens");
		String address = input.matching("address", MEMBER_ADDRESS, "IP:PORT of the frames port");
		return ifValid(input, () -> members(this.members.add(id, address)));
	}

	private static ApiResponse members(Either<CommandFailure, List<MemberAdministration.Member>> result) {
		return result.fold(ApiResponse::of, (members) -> ApiResponse.json(ApiResponse.OK, ApiJson.members(members)));
	}

	private ApiResponse afterConfirmation(Supplier<ApiResponse> reader) {
		return this.confirmation.confirm().fold(ApiResponse::of, (index) -> reader.get());
	}

	private static ApiResponse ifValid(JsonInput input, Supplier<ApiResponse> action) {
		List<Problem> problems = input.finish();
		return problems.isEmpty() ? action.get() : ApiResponse.invalid(problems);
	}

	private static ApiResponse get(String method, List<String> segments, int length, Supplier<ApiResponse> action) {
		if (segments.size() != length) {
			return unknownPath();
		}
		return method.equals("GET") ? action.get() : methodNotAllowed("GET");
	}

	private static ApiResponse post(String method, List<String> segments, int length, byte[] body,
			Function<JsonInput, ApiResponse> action) {
		if (segments.size() != length) {
			return unknownPath();
		}
		return method.equals("POST")
				? JsonInput.parse(body).fold((problem) -> ApiResponse.invalid(List.of(problem)), action)
				: methodNotAllowed("POST");
	}

	private static void setPropertyIfAbsent(String property, String value) {
		if (System.getProperty(property) == null) {
			System.setProperty(property, value);
		}
	}

	private static ApiResponse unknownPath() {
		return ApiResponse.notRun(ApiResponse.NOT_FOUND, "unknown path");
	}

	private static ApiResponse methodNotAllowed(String allowed) {
		return ApiResponse.notRun(ApiResponse.METHOD_NOT_ALLOWED, "only " + allowed + " is allowed here");
	}

	private static void send(HttpExchange exchange, ApiResponse response) throws IOException {
		byte[] bytes = response.body().getBytes(StandardCharsets.UTF_8);
		exchange.getResponseHeaders().set("Content-Type", response.contentType());
		if (exchange.getRequestMethod().equals("HEAD")) {
			exchange.sendResponseHeaders(response.status(), -1);
			return;
		}
		exchange.sendResponseHeaders(response.status(), bytes.length);
		try (OutputStream output = exchange.getResponseBody()) {
			output.write(bytes);
		}
	}

}
