package review;

import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Fills in the placeholders of a settings template as the platform does: {@code {{a}}}, {@code {{a.b}}} and
 * {@code {{a|json}}}.
 */
final class Template {

	private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z_0-9.]+)(\\|json)?}}");

	private Template() {
	}

	static String fill(String template, Map<String, Object> fields) {
		Matcher matcher = PLACEHOLDER.matcher(template);
		StringBuilder filled = new StringBuilder();
		while (matcher.find()) {
			Object value = find(fields, matcher.group(1));
			String text = (matcher.group(2) != null) ? json(value) : plain(value);
			matcher.appendReplacement(filled, Matcher.quoteReplacement(text));
		}
		return matcher.appendTail(filled).toString();
	}

	private static Object find(Object value, String path) {
		Object current = value;
		for (String part : path.split("\\.")) {
			current = (current instanceof List<?> list) ? list.get(Integer.parseInt(part))
					: ((Map<?, ?>) current).get(part);
		}
		return current;
	}

	private static String plain(Object value) {
		if (value instanceof List<?> list) {
			return list.stream().map(Template::plain).collect(Collectors.joining(","));
		}
		return (value != null) ? value.toString() : "";
	}

	private static String json(Object value) {
		if (value instanceof List<?> list) {
			return list.stream().map(Template::json).collect(Collectors.joining(",", "[", "]"));
		}
		return (value instanceof String) ? "\"" + value + "\"" : String.valueOf(value);
	}

}
