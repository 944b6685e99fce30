package io.lavenderroad.core.settings;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import io.lavenderroad.core.Location;
import io.lavenderroad.core.Problem;
import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import org.snakeyaml.engine.v2.api.LoadSettings;
import org.snakeyaml.engine.v2.api.lowlevel.Compose;
import org.snakeyaml.engine.v2.exceptions.MarkedYamlEngineException;
import org.snakeyaml.engine.v2.exceptions.YamlEngineException;
import org.snakeyaml.engine.v2.nodes.MappingNode;
import org.snakeyaml.engine.v2.nodes.Node;
import org.snakeyaml.engine.v2.nodes.NodeTuple;
import org.snakeyaml.engine.v2.nodes.ScalarNode;
import org.snakeyaml.engine.v2.nodes.SequenceNode;

/**
 * A parsed YAML document and the problems found while reading it. Duplicate keys are
 * reported as problems.
 */
public final class YamlDocument {

	private static final int MAXIMUM_DOCUMENT_CODE_POINTS = 4 * 1024 * 1024;

	/**
	 * Aliases allowed in one document. The low limit rejects documents that expand
	 * exponentially.
	 */
	private static final int MAXIMUM_ALIASES = 50;

	private final YamlNode root;

	private final List<Problem> problems;

	private YamlDocument(YamlNode root, List<Problem> problems) {
		this.root = root;
		this.problems = problems;
	}

	/**
	 * Parses a document and reads it with the given function.
	 * @param <T> type of the result
	 * @param source name of the source for locations
	 * @param text the document
	 * @param reader converts the root value to the result and reports problems at its
	 * values
	 * @return the result, or all problems
	 */
	public static <T> Either<Seq<Problem>, T> read(String source, String text, Function<YamlNode, T> reader) {
		return parse(source, text).flatMap((document) -> document.bind(reader));
	}

	/**
	 * Reads a file in UTF-8 with the given function.
	 * @param <T> type of the result
	 * @param file the file
	 * @param reader converts the root value to the result and reports problems at its
	 * values
	 * @return the result, or all problems
	 */
	public static <T> Either<Seq<Problem>, T> readFile(Path file, Function<YamlNode, T> reader) {
		try {
			return read(file.toString(), Files.readString(file), reader);
		}
		catch (NoSuchFileException ex) {
			return failure(Location.of(file.toString()), "no such file", "a readable YAML file");
		}
		catch (CharacterCodingException ex) {
			return failure(Location.of(file.toString()), "bytes that are not UTF-8", "a YAML file in UTF-8");
		}
		catch (IOException ex) {
			return failure(Location.of(file.toString()), "an unreadable file (" + ex.getMessage() + ")",
					"a readable YAML file");
		}
	}

	private static Either<Seq<Problem>, YamlDocument> parse(String source, String text) {
		LoadSettings settings = LoadSettings.builder()
			.setLabel(source)
			.setCodePointLimit(MAXIMUM_DOCUMENT_CODE_POINTS)
			.setMaxAliasesForCollections(MAXIMUM_ALIASES)
			.build();
		try {
			Optional<Node> node = new Compose(settings).composeString(text);
			List<Problem> problems = new ArrayList<>();
			node.ifPresent((rootNode) -> checkKeys(source, rootNode, Collections.newSetFromMap(new IdentityHashMap<>()),
					problems));
			YamlNode root = new YamlNode(source, "", node.orElse(null), node.flatMap(Node::getStartMark).orElse(null),
					problems);
			return Either.right(new YamlDocument(root, problems));
		}
		catch (MarkedYamlEngineException ex) {
			Location location = ex.getProblemMark()
				.map((mark) -> new Location(source, mark.getLine() + 1, mark.getColumn() + 1, ""))
				.orElse(Location.of(source));
			return failure(location, ex.getProblem(), "valid YAML");
		}
		catch (YamlEngineException | StackOverflowError ex) {
			return failure(Location.of(source), String.valueOf(ex.getMessage()), "valid YAML");
		}
	}

	private static void checkKeys(String source, Node node, Set<Node> visited, List<Problem> problems) {
		if (!visited.add(node)) {
			return;
		}
		if (node instanceof SequenceNode sequence) {
			sequence.getValue().forEach((item) -> checkKeys(source, item, visited, problems));
		}
		if (node instanceof MappingNode mapping) {
			Set<String> keys = new HashSet<>();
			for (NodeTuple tuple : mapping.getValue()) {
				checkKey(source, tuple.getKeyNode(), keys, problems);
				checkKeys(source, tuple.getValueNode(), visited, problems);
			}
		}
	}

	private static void checkKey(String source, Node key, Set<String> keys, List<Problem> problems) {
		Location location = key.getStartMark()
			.map((mark) -> new Location(source, mark.getLine() + 1, mark.getColumn() + 1, ""))
			.orElse(Location.of(source));
		if (!(key instanceof ScalarNode scalar)) {
			problems.add(new Problem(location, "a key that is no text", "text keys"));
		}
		else if (!keys.add(scalar.getValue())) {
			problems.add(new Problem(location, "key '" + scalar.getValue() + "' a second time", "each key once"));
		}
	}

	private <T> Either<Seq<Problem>, T> bind(Function<YamlNode, T> reader) {
		T result = reader.apply(this.root);
		if (this.problems.isEmpty()) {
			return Either.right(result);
		}
		return Either.left(Vector.ofAll(this.problems));
	}

	private static <T> Either<Seq<Problem>, T> failure(Location location, String found, String allowed) {
		return Either.left(Vector.of(new Problem(location, found, allowed)));
	}

}
