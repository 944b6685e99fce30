package io.lavenderroad.bench.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import io.lavenderroad.core.Problem;
import io.vavr.collection.Seq;
import io.vavr.control.Either;

/**
 * Program {@code bin/scenario}: runs scenarios sequentially. Exit codes: 0 all passed, 1
 * one failed, 3 a file is invalid.
 */
public final class Main {

	private static final int INVALID = 3;

	private Main() {
	}

	/**
	 * Runs the program.
	 * @param arguments see {@code --help}
	 * @throws IOException if the run folder cannot be created
	 */
	public static void main(String[] arguments) throws IOException {
		Options options = new Options();
		JCommander commander = JCommander.newBuilder().addObject(options).programName("scenario").build();
		commander.parse(arguments);
		if (options.help || options.files.isEmpty()) {
			commander.usage();
			return;
		}
		List<Scenario> scenarios = new ArrayList<>();
		for (String file : options.files) {
			Either<Seq<Problem>, Scenario> scenario = ScenarioReader.readFile(Path.of(file));
			if (scenario.isLeft()) {
				scenario.getLeft().forEach(System.err::println);
				System.exit(INVALID);
			}
			scenarios.add(scenario.get());
		}
		System.exit(options.check ? 0 : runAll(scenarios, options));
	}

	private static int runAll(List<Scenario> scenarios, Options options) throws IOException {
		int failed = 0;
		for (int index = 0; index < scenarios.size(); index++) {
			Scenario scenario = scenarios.get(index);
			Path folder = Path.of(options.folder, "scenario-" + System.currentTimeMillis()).toAbsolutePath();
			Files.createDirectories(folder);
			System.out
				.println(options.files.get(index) + ": " + scenario.name() + " (logs in " + folder.getFileName() + ")");
			boolean passed = ScenarioRun.run(scenario, Path.of(options.home).toAbsolutePath(), folder,
					System.out::println);
			System.out.println((passed ? "PASSED " : "FAILED ") + options.files.get(index));
			failed += passed ? 0 : 1;
		}
		System.out.println((scenarios.size() - failed) + " passed, " + failed + " failed");
		return (failed == 0) ? 0 : 1;
	}

	private static final class Options {

		@Parameter(description = "FILE...")
		private List<String> files = new ArrayList<>();

		@Parameter(names = "--check", description = "Only read the scenarios")
		private boolean check;

		@Parameter(names = "--home", description = "Folder of the built repository")
		private String home = ".";

		@Parameter(names = "--folder", description = "Folder for settings, data and logs")
		private String folder = "run";

		@Parameter(names = "--help", help = true, description = "Print this help")
		private boolean help;

	}

}
