package io.lavenderroad.tool;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import io.lavenderroad.core.Clock;
import io.lavenderroad.core.LavenderroadException;

/**
 * Entry point of the operators' command-line tool.
 */
public final class Main {

	@Parameter(names = "--help", help = true, description = "show the commands")
	private boolean help;

	@Parameter(names = "--version", help = true, description = "show the version")
	private boolean version;

	private final Map<String, ToolCommand> commands = new LinkedHashMap<>();

	private Main() {
		this.commands.put("status", new StatusCommand());
		this.commands.put("apply", new ApplyCommand());
		this.commands.put("diff", new DiffCommand());
		this.commands.put("check", new CheckCommand());
		this.commands.put("watch", new WatchCommand());
		this.commands.put("history", new HistoryCommand());
		this.commands.put("move", new MoveCommand());
		this.commands.put("verdict", new VerdictCommand());
		this.commands.put("evacuate", new EvacuateCommand());
		this.commands.put("members", new MembersCommand());
		this.commands.put("nodes", new NodesCommand());
		this.commands.put("teams", new TeamsCommand());
	}

	/**
	 * Runs the tool and ends the process with its exit code.
	 * @param arguments command line
	 */
	public static void main(String[] arguments) {
		PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
		PrintStream error = new PrintStream(System.err, true, StandardCharsets.UTF_8);
		ToolContext context = new ToolContext(out, error, System.getenv(), Clock.system(), Main::sleep,
				new SocketHttpTransport(), () -> UUID.randomUUID().toString());
		System.exit(run(context, arguments));
	}

	/**
	 * Runs a command.
	 * @param context streams, environment and transport of the command
	 * @param arguments command line
	 * @return the exit code
	 */
	static int run(ToolContext context, String... arguments) {
		Main main = new Main();
		JCommander parser = JCommander.newBuilder().programName("lavenderroad").addObject(main).build();
		main.commands.forEach(parser::addCommand);
		try {
			parser.parse(arguments);
			return main.dispatch(parser, context).value();
		}
		catch (ParameterException ex) {
			context.error().println("lavenderroad: " + ex.getMessage());
			context.error().println("lavenderroad: run lavenderroad --help for the commands and options");
			return ExitCode.USAGE.value();
		}
		catch (ToolException ex) {
			context.error().println(ex.getMessage());
			ToolCommand command = main.commands.get(parser.getParsedCommand());
			if (!ex.json().isEmpty() && command.options.json()) {
				context.out().println(ex.json());
			}
			return ex.exitCode().value();
		}
		catch (LavenderroadException ex) {
			context.error().println("lavenderroad: " + ex.getMessage());
			return ExitCode.FAILURE.value();
		}
	}

	private ExitCode dispatch(JCommander parser, ToolContext context) {
		ToolCommand command = this.commands.get(String.valueOf(parser.getParsedCommand()));
		if (this.version) {
			context.out()
				.println("lavenderroad " + Optional.ofNullable(Main.class.getPackage().getImplementationVersion())
					.orElse("development"));
			return ExitCode.SUCCESS;
		}
		if (this.help || command == null) {
			printCommands(parser, this.help ? context.out() : context.error());
			return this.help ? ExitCode.SUCCESS : ExitCode.USAGE;
		}
		if (command.help) {
			StringBuilder usage = new StringBuilder();
			parser.getUsageFormatter().usage(parser.getParsedCommand(), usage);
			context.out().println(usage);
			return ExitCode.SUCCESS;
		}
		return command.run(context);
	}

	private void printCommands(JCommander parser, PrintStream target) {
		target.println("Usage: lavenderroad COMMAND [options]");
		target.println();
		Table table = new Table("COMMAND", "EFFECT");
		this.commands.keySet()
			.forEach((name) -> table.row(name, parser.getUsageFormatter().getCommandDescription(name)));
		table.print(target);
		target.println();
		target.println("Options of each command: lavenderroad COMMAND --help");
		target.println("Control members: --control HOST:PORT,... or " + CommonOptions.CONTROL_VARIABLE);
		target.println("Exit codes: 0 success, 1 failure, 2 usage, 3 invalid input, 4 refused (not run), 5 unknown");
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new ToolException(ExitCode.FAILURE, "interrupted");
		}
	}

}
