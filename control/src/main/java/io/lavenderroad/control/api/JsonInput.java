package io.lavenderroad.control.api;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import io.lavenderroad.core.Location;
import io.lavenderroad.core.Problem;
import io.lavenderroad.core.json.BoundedJson;
import io.vavr.control.Either;

/**
 * Reads the fields of a JSON object in a request body and collects the problems found.
 */
final class JsonInput {

	private static final String SOURCE = "body";

	private static final String OBJECT = "a JSON object";

	private static final int MAXIMUM_QUOTE_CHARACTERS = 60;

	private final Map<String, Object> fields;

	private final List<Problem> problems = new ArrayList<>();

	private JsonInput(Map<String, Object> fields) {
		this.fields = fields;
	}

	static Either<Problem, JsonInput> parse(byte[] body) {
		try {
			Object value = BoundedJson.parse(body);
			if (value instanceof Map<?, ?> map) {
				Map<String, Object> fields = new TreeMap<>();
				map.forEach((key, field) -> fields.put(String.valueOf(key), field));
				return Either.right(new JsonInput(fields));
			}
			return Either.left(new Problem(Location.of(SOURCE), describe(value), OBJECT));
		}
		catch (JsonProcessingException ex) {
			JsonLocation jsonLocation = ex.getLocation();
			Location location = (jsonLocation != null)
					? new Location(SOURCE, jsonLocation.getLineNr(), jsonLocation.getColumnNr(), "")
					: Location.of(SOURCE);
			return Either.left(new Problem(location, ex.getOriginalMessage(), OBJECT));
		}
		catch (IOException | RuntimeException ex) {
			return Either.left(new Problem(Location.of(SOURCE), String.valueOf(ex.getMessage()), OBJECT));
		}
	}

	String text(String key, Optional<String> fallback) {
		Object value = this.fields.remove(key);
		if (value instanceof String text) {
			return text;
		}
		if (value != null || fallback.isEmpty()) {
			problem(key, describe(value), "a text");
		}
		return fallback.orElse("");
	}

	String matching(String key, Pattern pattern, String allowed) {
		String value = text(key, Optional.of(""));
		if (!pattern.matcher(value).matches()) {
			problem(key, value.isEmpty() ? "nothing" : quote(value), allowed);
		}
		return value;
	}

	long number(String key) {
		Object value = this.fields.remove(key);
		if (value instanceof Integer || value instanceof Long) {
			return ((Number) value).longValue();
		}
		problem(key, describe(value), "a whole number");
		return 0;
	}

	SortedMap<String, String> texts(String key) {
		SortedMap<String, String> texts = new TreeMap<>();
		Object value = this.fields.remove(key);
		if (value instanceof Map<?, ?> map) {
			map.forEach((name, text) -> {
				if (text instanceof String present) {
					texts.put(String.valueOf(name), present);
				}
				else {
					problem(key + "." + name, describe(text), "a text");
				}
			});
		}
		else if (value != null) {
			problem(key, describe(value), "an object of texts");
		}
		return texts;
	}

	List<String> textList(String key) {
		List<String> texts = new ArrayList<>();
		Object value = this.fields.remove(key);
		if (value instanceof List<?> list) {
			for (Object item : list) {
				if (item instanceof String text) {
					texts.add(text);
				}
				else {
					problem(key, describe(item), "a list of texts");
				}
			}
		}
		else if (value != null) {
			problem(key, describe(value), "a list of texts");
		}
		return texts;
	}

	List<Problem> finish() {
		this.fields.keySet().forEach((key) -> problem(key, "unknown key '" + key + "'", "the keys of this request"));
		return List.copyOf(this.problems);
	}

	private void problem(String key, String found, String allowed) {
		this.problems.add(new Problem(new Location(SOURCE, 0, 0, key), found, allowed));
	}

	private static String quote(String value) {
		return "'" + value.substring(0, Math.min(value.length(), MAXIMUM_QUOTE_CHARACTERS)) + "'";
	}

	private static String describe(Object value) {
		return switch (value) {
			case null -> "nothing";
			case Map<?, ?> map -> "an object";
			case List<?> list -> "a list";
			case String text -> "a text";
			case Boolean flag -> flag.toString();
			default -> String.valueOf(value);
		};
	}

}
