package io.lavenderroad.bench.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import io.lavenderroad.core.Problem;
import io.vavr.collection.Seq;
import io.vavr.control.Either;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against scenario files that the reader no longer accepts or that share a
 * loopback network with each other, and against misspelt steps that are ignored.
 */
public class ScenarioReaderTests {

	private static final Path FOLDER = Path.of("..", "scenarios");

	private static final String VALID = """
			name: example
			network: 30
			failure-domains: [germiston]
			workers:
			  - { service: catalogue, version: v1 }
			load:
			  calls: []
			steps:
			  - changes: 3
			  - kill: leader
			""";

	@Test
	public void everyScenarioFileIsRead() throws IOException {
		Map<Integer, Path> networks = new HashMap<>();
		for (Path file : files()) {
			Either<Seq<Problem>, Scenario> scenario = ScenarioReader.readFile(file);
			Assert.assertTrue(scenario.isRight(), file + ": " + scenario);
			Assert.assertFalse(scenario.get().steps().isEmpty(), file + " has no steps");
			Path other = networks.put(scenario.get().network(), file);
			Assert.assertNull(other, file + " has the network of " + other);
		}
		Assert.assertFalse(networks.isEmpty(), "no scenarios in " + FOLDER);
	}

	@Test
	public void validScenarioKeepsTheOrderOfItsSteps() {
		List<String> titles = ScenarioReader.read("example", VALID).get().steps().stream().map(Step::title).toList();
		Assert.assertEquals(titles.stream().map((title) -> title.split(" ")[0]).toList(), List.of("changes", "kill"));
	}

	@Test
	public void wrongVerbIsReportedWithItsLine() {
		Seq<Problem> problems = ScenarioReader.read("example", VALID.replace("- kill:", "- slay:")).getLeft();
		Assert.assertEquals(problems.head().location().line(), 10);
		Assert.assertTrue(problems.head().toString().contains("slay"), problems.toString());
	}

	@Test
	public void wrongExpectationIsReportedWithItsLine() {
		String text = VALID.replace("- changes: 3", "- expect: { in-farce: first }");
		Seq<Problem> problems = ScenarioReader.read("example", text).getLeft();
		Assert.assertTrue(problems.exists((problem) -> problem.location().line() == 9), problems.toString());
	}

	private static List<Path> files() throws IOException {
		try (Stream<Path> files = Files.list(FOLDER)) {
			return files.filter((file) -> file.toString().endsWith(".yml")).sorted().toList();
		}
	}

}
