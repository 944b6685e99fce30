package io.lavenderroad.tool;

import java.util.List;

import io.lavenderroad.tool.ControlClient.Reply;

/**
 * Polls the nodes and prints the progress of a version towards being active on all of
 * them.
 */
final class ConvergenceMonitor {

	private static final long POLL_MILLIS = 200;

	private static final int MAXIMUM_NAMED_NODES = 5;

	private final ToolContext context;

	private final ControlClient client;

	private final CommonOptions options;

	ConvergenceMonitor(ToolContext context, ControlClient client, CommonOptions options) {
		this.context = context;
		this.client = client;
		this.options = options;
	}

	/**
	 * Prints each change of progress until the version is active on every node or the
	 * time limit passes.
	 * @param target the version, or 0 for the active one
	 * @return {@code SUCCESS} if the version is active on every node
	 */
	ExitCode watch(long target) {
		long startMillis = this.context.clock().millis();
		long endMillis = startMillis + this.options.timeLimitSeconds * 1_000L;
		String lastLine = "";
		while (true) {
			Reply reply = this.client.get("/v1/nodes");
			JsonValue nodes = ApiResponses.requireSuccess(reply);
			long version = (target > 0) ? target : nodes.number("version");
			long nodesAtVersion = countNodesAt(nodes, version);
			String line = progressLine(nodes, version, nodesAtVersion);
			long elapsed = this.context.clock().millis() - startMillis;
			if (!line.equals(lastLine)) {
				lastLine = line;
				this.context.out().println(this.options.json() ? reply.text() : "after " + elapsed + " ms: " + line);
			}
			if (nodesAtVersion > 0 && nodesAtVersion == nodes.number("nodes") && nodes.number("version") >= version) {
				return ExitCode.SUCCESS;
			}
			if (this.context.clock().millis() + POLL_MILLIS > endMillis) {
				throw new ToolException(ExitCode.FAILURE,
						"not on every node within " + this.options.timeLimitSeconds + " s: " + line);
			}
			this.context.sleeper().sleep(POLL_MILLIS);
		}
	}

	private static long countNodesAt(JsonValue nodes, long version) {
		JsonValue byVersion = nodes.object("nodesByVersion");
		return byVersion.keys()
			.stream()
			.filter((active) -> active.matches("[0-9]{1,18}") && Long.parseLong(active) >= version)
			.mapToLong(byVersion::number)
			.sum();
	}

	private static String progressLine(JsonValue nodes, long version, long nodesAtVersion) {
		StringBuilder line = new StringBuilder(
				"version " + version + " is active on " + nodesAtVersion + " of " + nodes.number("nodes") + " nodes");
		List<String> lagging = nodes.objects("lagging")
			.stream()
			.filter((node) -> node.number("activeVersion") < version)
			.map((node) -> node.text("node") + " at " + node.number("activeVersion"))
			.limit(MAXIMUM_NAMED_NODES)
			.toList();
		if (!lagging.isEmpty()) {
			line.append("; lagging: ").append(String.join(", ", lagging));
		}
		nodes.objects("rejected")
			.stream()
			.filter((node) -> node.number("version") >= version)
			.limit(MAXIMUM_NAMED_NODES)
			.forEach((node) -> line.append("; ")
				.append(node.text("node"))
				.append(" rejected version ")
				.append(node.number("version"))
				.append(": ")
				.append(node.text("reason")));
		return line.toString();
	}

}
