package io.lavenderroad.tool;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Stream;

import io.lavenderroad.core.Location;
import io.lavenderroad.core.Problem;
import io.lavenderroad.model.rendering.MeshRenderer;
import io.vavr.collection.Seq;
import io.vavr.control.Either;

/**
 * Documents read from the files and directories on the command line. Each document is
 * keyed by its kind and its declared name; problems are reported under the file name.
 *
 * @param texts text of each document by its name
 * @param files file of each document by its name
 */
record Documents(SortedMap<String, String> texts, SortedMap<String, String> files) {

	/**
	 * Reads documents. Directories are searched for files that end in {@code .yml} or
	 * {@code .yaml}.
	 * @param paths files and directories
	 * @return the documents
	 * @throws ToolException if a file cannot be read or a document declares no name
	 */
	static Documents read(List<String> paths) {
		Documents documents = new Documents(new TreeMap<>(), new TreeMap<>());
		List<Problem> problems = new ArrayList<>();
		for (String path : paths) {
			for (Path file : files(Path.of(path), problems)) {
				documents.add(file, problems);
			}
		}
		if (problems.isEmpty() && documents.texts.isEmpty()) {
			problems.add(new Problem(Location.of(String.join(", ", paths)), "no documents",
					"files that end in .yml or .yaml"));
		}
		long bytes = MeshRenderer.totalBytes(documents.texts);
		if (bytes > MeshRenderer.MAXIMUM_DOCUMENT_BYTES) {
			problems.add(new Problem(Location.of(String.join(", ", paths)), bytes + " bytes of documents",
					"at most " + MeshRenderer.MAXIMUM_DOCUMENT_BYTES + " bytes in one change"));
		}
		if (!problems.isEmpty()) {
			throw new ToolException(ExitCode.INVALID_INPUT, formatProblems(problems));
		}
		return documents;
	}

	static String formatProblems(List<Problem> problems) {
		return String.join("\n", problems.stream().map(Problem::toString).toList());
	}

	/**
	 * Returns the name under which a problem source is shown to the operator.
	 * @param source name of a document, or anything else
	 * @return the file name of the document, or {@code source} itself if it is no
	 * document
	 */
	String displayName(String source) {
		return this.files.getOrDefault(source, source);
	}

	private void add(Path file, List<Problem> problems) {
		String text;
		try {
			text = Files.readString(file);
		}
		catch (CharacterCodingException ex) {
			problems.add(new Problem(Location.of(file.toString()), "bytes that are not UTF-8", "a YAML file in UTF-8"));
			return;
		}
		catch (IOException ex) {
			problems.add(new Problem(Location.of(file.toString()), "an unreadable file (" + ex.getMessage() + ")",
					"a readable YAML file"));
			return;
		}
		Either<Seq<Problem>, String> name = MeshRenderer.documentName(file.toString(), text);
		name.peekLeft((found) -> problems.addAll(found.asJava()));
		if (name.isLeft()) {
			return;
		}
		String first = this.files.putIfAbsent(name.get(), file.toString());
		if (first != null) {
			problems.add(new Problem(Location.of(file.toString()), name.get() + ", which is also in " + first,
					"each document once"));
		}
		this.texts.put(name.get(), text);
	}

	private static List<Path> files(Path path, List<Problem> problems) {
		if (!Files.isDirectory(path)) {
			return List.of(path);
		}
		try (Stream<Path> walk = Files.walk(path)) {
			return walk.filter(Files::isRegularFile)
				.filter((file) -> file.toString().endsWith(".yml") || file.toString().endsWith(".yaml"))
				.sorted()
				.toList();
		}
		catch (IOException | UncheckedIOException ex) {
			problems.add(new Problem(Location.of(path.toString()), "an unreadable directory (" + ex.getMessage() + ")",
					"a readable directory"));
			return List.of();
		}
	}

}
