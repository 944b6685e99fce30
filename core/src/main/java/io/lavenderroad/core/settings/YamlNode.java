package io.lavenderroad.core.settings;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Predicate;
import java.util.regex.Pattern;

import io.lavenderroad.core.Location;
import io.lavenderroad.core.Problem;
import org.snakeyaml.engine.v2.exceptions.Mark;
import org.snakeyaml.engine.v2.nodes.MappingNode;
import org.snakeyaml.engine.v2.nodes.Node;
import org.snakeyaml.engine.v2.nodes.NodeTuple;
import org.snakeyaml.engine.v2.nodes.ScalarNode;
import org.snakeyaml.engine.v2.nodes.SequenceNode;
import org.snakeyaml.engine.v2.nodes.Tag;

/**
 * One value of a YAML document together with its position. A read method that finds an
 * invalid value adds a {@link Problem} to the list shared by the document and returns a
 * fallback, so that one pass reports all problems.
 */
public final class YamlNode {

	private static final int MAXIMUM_QUOTED_CHARACTERS = 60;

	private final String source;

	private final String path;

	private final Node node;

	private final Mark position;

	private final List<Problem> problems;

	private final Set<String> readKeys = new HashSet<>();

	YamlNode(String source, String path, Node node, Mark position, List<Problem> problems) {
		this.source = source;
		this.path = path;
		this.node = node;
		this.position = position;
		this.problems = problems;
	}

	/**
	 * Returns the position of this value.
	 * @return file, line, column and key path
	 */
	public Location location() {
		int line = (this.position != null) ? this.position.getLine() + 1 : 0;
		int column = (this.position != null) ? this.position.getColumn() + 1 : 0;
		return new Location(this.source, line, column, this.path);
	}

	/**
	 * Returns whether the value is present and not null.
	 * @return true if there is a value
	 */
	public boolean isPresent() {
		return this.node != null && !Tag.NULL.equals(this.node.getTag());
	}

	/**
	 * Returns whether the value is a mapping.
	 * @return true for a mapping
	 */
	public boolean isMapping() {
		return this.node instanceof MappingNode;
	}

	/**
	 * Returns whether the value is a sequence.
	 * @return true for a sequence
	 */
	public boolean isSequence() {
		return this.node instanceof SequenceNode;
	}

	/**
	 * Reports a problem at this value.
	 * @param found what was found
	 * @param allowed what is allowed
	 */
	public void addProblem(String found, String allowed) {
		this.problems.add(new Problem(location(), found, allowed));
	}

	/**
	 * Returns the value of a key of this mapping and records the key as read.
	 * @param key the key
	 * @return the value, which may be absent
	 */
	public YamlNode child(String key) {
		this.readKeys.add(key);
		String childPath = this.path.isEmpty() ? key : this.path + "." + key;
		return findValue(key).map((child) -> createChild(childPath, child))
			.orElseGet(() -> new YamlNode(this.source, childPath, null, this.position, this.problems));
	}

	/**
	 * Returns the keys of this mapping in the order of the document.
	 * @return the keys; empty if this is not a mapping
	 */
	public List<String> keys() {
		List<String> keys = new ArrayList<>();
		if (this.node instanceof MappingNode mapping) {
			for (NodeTuple tuple : mapping.getValue()) {
				if (tuple.getKeyNode() instanceof ScalarNode scalar) {
					keys.add(scalar.getValue());
				}
			}
		}
		return keys;
	}

	/**
	 * Returns the items of this sequence. A value that is neither absent nor a sequence
	 * is a problem.
	 * @return the items; empty if absent
	 */
	public List<YamlNode> items() {
		List<YamlNode> items = new ArrayList<>();
		if (this.node instanceof SequenceNode sequence) {
			for (Node item : sequence.getValue()) {
				items.add(createChild(this.path + "[" + items.size() + "]", item));
			}
		}
		else if (isPresent()) {
			addProblem(describe(), "a list");
		}
		return items;
	}

	/**
	 * Reports every key of this mapping that was not read, and a value that is present
	 * but not a mapping. Call it after all keys have been read.
	 */
	public void rejectUnknownKeys() {
		if (isPresent() && !isMapping()) {
			addProblem(describe(), "a mapping");
			return;
		}
		for (String key : keys()) {
			if (!this.readKeys.contains(key)) {
				YamlNode unknown = child(key);
				unknown.addProblem("unknown key '" + key + "'", "one of "
						+ String.join(", ", this.readKeys.stream().filter((k) -> !k.equals(key)).sorted().toList()));
				this.readKeys.remove(key);
			}
		}
	}

	/**
	 * Reads a text.
	 * @return the text, or empty if absent or invalid
	 */
	public Optional<String> text() {
		if (!isPresent()) {
			return Optional.empty();
		}
		if (this.node instanceof ScalarNode scalar) {
			return Optional.of(scalar.getValue());
		}
		addProblem(describe(), "a text");
		return Optional.empty();
	}

	/**
	 * Reads a text that must be present and match a pattern.
	 * @param allowed description of what is allowed
	 * @param pattern pattern of the whole text
	 * @return the text, or an empty string if absent or invalid
	 */
	public String requiredText(String allowed, Pattern pattern) {
		if (!required(allowed)) {
			return "";
		}
		Predicate<String> matches = (value) -> pattern.matcher(value).matches();
		return validated(text(), matches, allowed).orElse("");
	}

	/**
	 * Reads one of a set of words.
	 * @param words the allowed words
	 * @param fallback the value if absent, or null if the key is required
	 * @return the word; if absent, the fallback; if invalid or required but absent, the
	 * first allowed word
	 */
	public String oneOf(Collection<String> words, String fallback) {
		String allowed = "one of " + String.join(", ", words);
		if (!isPresent() && fallback != null) {
			return fallback;
		}
		if (!required(allowed)) {
			return words.iterator().next();
		}
		return validated(text(), words::contains, allowed).orElse(words.iterator().next());
	}

	/**
	 * Reads a whole number in a range.
	 * @param minimum smallest allowed value
	 * @param maximum largest allowed value
	 * @param fallback the value if absent; empty if the key is required
	 * @return the number; if absent or invalid, the fallback or else the minimum
	 */
	public int integer(int minimum, int maximum, OptionalInt fallback) {
		String allowed = "a whole number from " + minimum + " to " + maximum;
		if (!isPresent() && fallback.isPresent()) {
			return fallback.getAsInt();
		}
		if (!required(allowed)) {
			return minimum;
		}
		if (this.node instanceof ScalarNode scalar && scalar.getValue().matches("[+-]?[0-9]{1,9}")) {
			int value = Integer.parseInt(scalar.getValue());
			if (value >= minimum && value <= maximum) {
				return value;
			}
		}
		addProblem(describe(), allowed);
		return fallback.orElse(minimum);
	}

	/**
	 * Reads {@code true} or {@code false}.
	 * @param fallback the value if absent
	 * @return the value, or the fallback if absent or invalid
	 */
	public boolean booleanValue(boolean fallback) {
		if (!isPresent()) {
			return fallback;
		}
		String text = (this.node instanceof ScalarNode scalar) ? scalar.getValue() : "";
		if (text.equals("true") || text.equals("false")) {
			return text.equals("true");
		}
		addProblem(describe(), "true or false");
		return fallback;
	}

	/**
	 * Describes the value for an error message.
	 * @return a short description
	 */
	public String describe() {
		if (!isPresent()) {
			return "nothing";
		}
		if (this.node instanceof ScalarNode scalar) {
			String value = scalar.getValue();
			boolean tooLong = value.length() > MAXIMUM_QUOTED_CHARACTERS;
			return "'" + (tooLong ? value.substring(0, MAXIMUM_QUOTED_CHARACTERS) + "…" : value) + "'";
		}
		return isMapping() ? "a mapping" : "a list";
	}

	private boolean required(String allowed) {
		if (isPresent()) {
			return true;
		}
		addProblem("nothing", allowed);
		return false;
	}

	private Optional<String> validated(Optional<String> value, Predicate<String> check, String allowed) {
		if (value.isPresent() && !check.test(value.get())) {
			addProblem(describe(), allowed);
			return Optional.empty();
		}
		return value;
	}

	private Optional<Node> findValue(String key) {
		if (this.node instanceof MappingNode mapping) {
			for (NodeTuple tuple : mapping.getValue()) {
				if (tuple.getKeyNode() instanceof ScalarNode scalar && scalar.getValue().equals(key)) {
					return Optional.of(tuple.getValueNode());
				}
			}
		}
		return Optional.empty();
	}

	private YamlNode createChild(String childPath, Node child) {
		return new YamlNode(this.source, childPath, child, child.getStartMark().orElse(this.position), this.problems);
	}

}
