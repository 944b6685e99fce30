package io.lavenderroad.model.rendering;

import java.time.DateTimeException;
import java.time.OffsetDateTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.lavenderroad.core.settings.YamlNode;

/**
 * Type of a template parameter and of the template fields that may refer to it.
 *
 * @param <T> type of the values in Java
 */
public final class ParameterType<T> {

	/**
	 * Maximum duration that a document may contain, in milliseconds.
	 */
	public static final long MAXIMUM_DURATION_MILLIS = 366L * 86_400_000;

	static final Pattern NAME_PATTERN = Pattern.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?");

	private static final Pattern VERSION_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");

	private static final Pattern INTEGER_PATTERN = Pattern.compile("[0-9]{1,9}");

	private static final Pattern DURATION_PATTERN = Pattern.compile("([0-9]{1,9})(ms|s|m|h|d)");

	private static final Pattern SHARE_PATTERN = Pattern.compile("([0-9]{1,3})(?:[.]([0-9]{1,2}))?%");

	/**
	 * Name of a service, route, policy or team.
	 */
	public static final ParameterType<String> NAME = new ParameterType<>("name", String.class, null,
			"a name of lower-case letters, digits and hyphens, at most 63 characters",
			(text) -> matching(NAME_PATTERN, text));

	/**
	 * Backend server version.
	 */
	public static final ParameterType<String> VERSION = new ParameterType<>("version", String.class, null,
			"a version of letters, digits, dots, underscores and hyphens, at most 63 characters",
			(text) -> matching(VERSION_PATTERN, text));

	/**
	 * Whole number.
	 */
	public static final ParameterType<Integer> INTEGER = new ParameterType<>("integer", Integer.class,
			new Range(0, 999_999_999), "a whole number",
			(text) -> matching(INTEGER_PATTERN, text).map(Integer::valueOf));

	/**
	 * Duration, in milliseconds.
	 */
	public static final ParameterType<Long> DURATION = new ParameterType<>("duration", Long.class,
			new Range(0, MAXIMUM_DURATION_MILLIS), "a duration such as 250ms, 2s, 30m, 6h or 1d",
			ParameterType::durationMillis);

	/**
	 * Share, in 1/10,000.
	 */
	public static final ParameterType<Integer> SHARE = new ParameterType<>("share", Integer.class, new Range(0, 10_000),
			"a share such as 12.5%", ParameterType::shareBasisPoints);

	/**
	 * Boolean, {@code true} or {@code false}.
	 */
	public static final ParameterType<Boolean> BOOLEAN = new ParameterType<>("truth", Boolean.class, null,
			"true or false", (text) -> switch (text) {
				case "true" -> Optional.of(Boolean.TRUE);
				case "false" -> Optional.of(Boolean.FALSE);
				default -> Optional.empty();
			});

	/**
	 * Deadline of a move.
	 */
	public static final ParameterType<Deadline> DEADLINE = new ParameterType<>("deadline", Deadline.class, null,
			"a time such as 2026-12-04T17:00:00+02:00 or a duration from acceptance such as 30m",
			ParameterType::deadline);

	/**
	 * List of names.
	 */
	@SuppressWarnings("rawtypes")
	public static final ParameterType<List> LIST = new ParameterType<>("list", List.class, null,
			"a list of different names", (text) -> Optional.empty());

	private static final List<ParameterType<?>> ALL = List.of(NAME, VERSION, INTEGER, DURATION, SHARE, BOOLEAN,
			DEADLINE, LIST);

	private final String label;

	private final Class<T> valueType;

	private final Range fullRange;

	private final String allowed;

	private final Parser<T> parser;

	private ParameterType(String label, Class<T> valueType, Range fullRange, String allowed, Parser<T> parser) {
		this.label = label;
		this.valueType = valueType;
		this.fullRange = fullRange;
		this.allowed = allowed;
		this.parser = parser;
	}

	/**
	 * Finds the type with a label.
	 * @param label label as used in templates
	 * @return the type, or empty if there is none
	 */
	public static Optional<ParameterType<?>> forLabel(String label) {
		return ALL.stream().filter((type) -> type.label.equals(label)).findFirst();
	}

	public static List<String> labels() {
		return ALL.stream().map(ParameterType::label).toList();
	}

	/**
	 * Returns the label that declares this type in templates.
	 * @return the label, a single word
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Returns the range of all values of the type.
	 * @return the range, or empty if the type has none
	 */
	public Optional<Range> fullRange() {
		return Optional.ofNullable(this.fullRange);
	}

	/**
	 * Casts a value that was read with this type.
	 * @param value the value
	 * @return the value
	 * @throws ClassCastException if the value has another type
	 */
	public T cast(Object value) {
		return this.valueType.cast(value);
	}

	/**
	 * Reads a value. Problems are reported at the node.
	 * @param node the value
	 * @param range the allowed range, or empty for the full range of the type
	 * @return the value, or empty if it is absent or invalid
	 */
	public Optional<T> read(YamlNode node, Optional<Range> range) {
		if (!node.isPresent()) {
			return Optional.empty();
		}
		if (this.valueType == List.class) {
			return names(node).map(this::cast);
		}
		if (node.isMapping() || node.isSequence()) {
			node.addProblem(node.describe(), allowed(range));
			return Optional.empty();
		}
		Optional<T> value = node.text().flatMap(this.parser::parse);
		if (value.isEmpty() || !inRange(value.get(), range)) {
			node.addProblem(node.describe(), allowed(range));
			return Optional.empty();
		}
		return value;
	}

	/**
	 * Returns whether a value of this type is in a range.
	 * @param value the value
	 * @param range the range, or empty for the full range of the type
	 * @return true if the type has no range or the value is within it
	 */
	public boolean inRange(Object value, Optional<Range> range) {
		Optional<Range> bounds = range.or(this::fullRange);
		return !(value instanceof Number number) || bounds.isEmpty() || bounds.get().contains(number.longValue());
	}

	/**
	 * Describes the allowed values.
	 * @param range the range, or empty for the full range of the type
	 * @return a phrase for problem texts
	 */
	public String allowed(Optional<Range> range) {
		Optional<Range> bounds = range.or(this::fullRange);
		return bounds
			.map((allowedRange) -> this.allowed + " from " + format(allowedRange.minimum()) + " to "
					+ format(allowedRange.maximum()))
			.orElse(this.allowed);
	}

	private String format(long value) {
		if (this == DURATION) {
			return value + "ms";
		}
		return (this == SHARE) ? percent((int) value) : Long.toString(value);
	}

	/**
	 * Formats a share as a percentage, independent of the default locale.
	 * @param basisPoints the share in 1/10,000
	 * @return the percentage, such as {@code 12.5%}
	 */
	public static String percent(int basisPoints) {
		String hundredths = String.format(Locale.ROOT, "%02d", basisPoints % 100).replaceAll("0+$", "");
		return (basisPoints / 100) + (hundredths.isEmpty() ? "" : "." + hundredths) + "%";
	}

	@Override
	public String toString() {
		return this.label;
	}

	private static Optional<String> matching(Pattern pattern, String text) {
		return pattern.matcher(text).matches() ? Optional.of(text) : Optional.empty();
	}

	private static Optional<Long> durationMillis(String text) {
		Matcher matcher = DURATION_PATTERN.matcher(text);
		if (!matcher.matches()) {
			return Optional.empty();
		}
		long unitMillis = switch (matcher.group(2)) {
			case "ms" -> 1;
			case "s" -> 1_000;
			case "m" -> 60_000;
			case "h" -> 3_600_000;
			default -> 86_400_000;
		};
		return Optional.of(Long.parseLong(matcher.group(1)) * unitMillis);
	}

	private static Optional<Integer> shareBasisPoints(String text) {
		Matcher matcher = SHARE_PATTERN.matcher(text);
		if (!matcher.matches()) {
			return Optional.empty();
		}
		String fraction = (matcher.group(2) != null) ? (matcher.group(2) + "0").substring(0, 2) : "0";
		return Optional.of(Integer.parseInt(matcher.group(1)) * 100 + Integer.parseInt(fraction));
	}

	private static Optional<Deadline> deadline(String text) {
		Optional<Long> duration = durationMillis(text);
		if (duration.isPresent()) {
			return duration.filter((millis) -> millis > 0 && millis <= MAXIMUM_DURATION_MILLIS)
				.map((millis) -> new Deadline(true, millis));
		}
		try {
			return Optional.of(new Deadline(false, OffsetDateTime.parse(text).toInstant().toEpochMilli()));
		}
		catch (DateTimeException | ArithmeticException ex) {
			return Optional.empty();
		}
	}

	private static Optional<List<String>> names(YamlNode node) {
		if (!node.isSequence()) {
			node.addProblem(node.describe(), LIST.allowed);
			return Optional.empty();
		}
		List<String> names = new ArrayList<>();
		boolean valid = true;
		for (YamlNode item : node.items()) {
			if (!item.isPresent()) {
				item.addProblem("nothing", NAME.allowed);
			}
			Optional<String> name = NAME.read(item, Optional.empty());
			valid &= name.isPresent();
			name.ifPresent(names::add);
		}
		if (valid && new TreeSet<>(names).size() < names.size()) {
			node.addProblem("a name twice", LIST.allowed);
			return Optional.empty();
		}
		return valid ? Optional.of(List.copyOf(names)) : Optional.empty();
	}

	@FunctionalInterface
	private interface Parser<T> {

		Optional<T> parse(String text);

	}

}
