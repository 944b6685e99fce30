package io.lavenderroad.daemon;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import io.lavenderroad.core.LavenderroadException;
import io.lavenderroad.core.Problem;
import io.lavenderroad.core.kernel.Kernel;
import io.lavenderroad.node.HttpProperties;
import io.vavr.collection.Seq;
import io.vavr.control.Either;
import org.tinylog.Logger;

/**
 * Program {@code lavenderroadd}. Exit codes: 0 success, 1 failure while running, 2 usage,
 * 3 invalid settings.
 */
public final class Main {

	static final int SUCCESS = 0;

	static final int FAILURE = 1;

	static final int USAGE = 2;

	static final int INVALID_SETTINGS = 3;

	private final PrintStream output;

	private final PrintStream errors;

	Main(PrintStream output, PrintStream errors) {
		this.output = output;
		this.errors = errors;
	}

	/**
	 * Runs the program.
	 * @param arguments command line
	 */
	public static void main(String[] arguments) {
		int code = new Main(System.out, System.err).run(arguments);
		if (code != SUCCESS) {
			System.exit(code);
		}
	}

	int run(String... arguments) {
		Options options = new Options();
		RunCommand runCommand = new RunCommand();
		CheckCommand checkCommand = new CheckCommand();
		JCommander commander = JCommander.newBuilder()
			.programName("lavenderroadd")
			.addObject(options)
			.addCommand("run", runCommand)
			.addCommand("check", checkCommand)
			.build();
		try {
			commander.parse(arguments);
		}
		catch (ParameterException ex) {
			this.errors.println("lavenderroadd: " + ex.getMessage());
			this.errors.println("Try 'lavenderroadd --help'.");
			return USAGE;
		}
		if (options.version) {
			this.output.println("lavenderroadd " + version());
			return SUCCESS;
		}
		if (options.help || commander.getParsedCommand() == null) {
			printUsage(commander, options.help ? this.output : this.errors);
			return options.help ? SUCCESS : USAGE;
		}
		return commander.getParsedCommand().equals("check") ? check(checkCommand.file) : runDaemon(runCommand.file);
	}

	private int check(String file) {
		return read(file, Kernel.load()).fold(this::report, (settings) -> {
			this.output.println(file + " is valid: " + settings.role() + " '" + settings.id() + "' of cluster '"
					+ settings.cluster() + "'.");
			return SUCCESS;
		});
	}

	private int runDaemon(String file) {
		Kernel kernel = Kernel.load();
		SettingsReloader reloader = new SettingsReloader(Path.of(file), kernel);
		return read(file, kernel).fold(this::report, (settings) -> start(settings, kernel, reloader));
	}

	private int start(DaemonSettings settings, Kernel kernel, SettingsReloader reloader) {
		LogConfiguration.apply(settings.log());
		Thread.setDefaultUncaughtExceptionHandler(Main::endWithoutMemory);
		HttpProperties.set();
		try {
			Role role = kernel.find(Role.EXTENSION_POINT, settings.role()).orElseThrow();
			RunningRole running = role.start(settings, kernel);
			CountDownLatch stopped = stopOnSignal(running, settings);
			reloader.start(running);
			// Logged after the handlers of signals are installed, so that a process that
			// waits for this line may send signals.
			Logger.info("daemon: Started {} {} of cluster {} at {}.", settings.role(), settings.id(),
					settings.cluster(), settings.frameAddress());
			await(stopped);
			return SUCCESS;
		}
		catch (IOException | LavenderroadException ex) {
			Logger.error("daemon: Cannot start: {}.", ex.getMessage());
			this.errors.println("lavenderroadd: cannot start: " + ex.getMessage());
			return FAILURE;
		}
	}

	/**
	 * Ends the process if a thread ends for lack of memory. The option
	 * {@code -XX:+ExitOnOutOfMemoryError} of the launchers covers the heap only, not for
	 * example the stacks of threads. A process that goes on without some of its threads
	 * looks alive and does not serve.
	 * @param thread the thread
	 * @param failure why it ended
	 */
	private static void endWithoutMemory(Thread thread, Throwable failure) {
		if (failure instanceof OutOfMemoryError) {
			Runtime.getRuntime().halt(FAILURE);
		}
		Logger.error(failure, "daemon: Thread {} ended unexpectedly.", thread.getName());
	}

	private static CountDownLatch stopOnSignal(RunningRole running, DaemonSettings settings) {
		CountDownLatch done = new CountDownLatch(1);
		Runtime.getRuntime().addShutdownHook(Thread.ofPlatform().unstarted(() -> {
			Logger.info("daemon: Shutting down {}.", settings.id());
			shutDown(running, settings.shutdown().timeoutMillis());
			Logger.info("daemon: Stopped {}.", settings.id());
			LogConfiguration.close();
			done.countDown();
		}));
		return done;
	}

	private static void await(CountDownLatch stopped) {
		try {
			stopped.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void shutDown(RunningRole running, long timeoutMillis) {
		Thread work = Thread.ofPlatform().daemon().start(running::shutDown);
		try {
			if (!work.join(Duration.ofMillis(timeoutMillis))) {
				Logger.warn("daemon: Shutdown timed out after {} ms; stopping with work in progress.", timeoutMillis);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private Either<Seq<Problem>, DaemonSettings> read(String file, Kernel kernel) {
		return SettingsBinding.readFile(Path.of(file), kernel.names(Role.EXTENSION_POINT));
	}

	private int report(Seq<Problem> problems) {
		problems.forEach((problem) -> this.errors.println(problem));
		return INVALID_SETTINGS;
	}

	private static String version() {
		String version = Main.class.getPackage().getImplementationVersion();
		return (version != null) ? version : "development build";
	}

	private static void printUsage(JCommander commander, PrintStream target) {
		StringBuilder usage = new StringBuilder();
		commander.getUsageFormatter().usage(usage);
		target.print(usage);
		target.println("  Exit codes: 0 success, 1 failure while running, 2 usage, 3 invalid settings.");
	}

	private static final class Options {

		@Parameter(names = "--help", help = true, description = "Print this help")
		private boolean help;

		@Parameter(names = "--version", description = "Print the version")
		private boolean version;

	}

	@Parameters(commandDescription = "Run the daemon with the settings in FILE")
	private static final class RunCommand {

		@Parameter(required = true, arity = 1, description = "FILE")
		private String file;

	}

	@Parameters(commandDescription = "Check the settings in FILE without starting the daemon")
	private static final class CheckCommand {

		@Parameter(required = true, arity = 1, description = "FILE")
		private String file;

	}

}
