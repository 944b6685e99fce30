package io.lavenderroad.tool;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.lavenderroad.core.json.BoundedJson;

/**
 * JSON object of a response. Missing fields are read as empty values, so that the tool
 * works with members of a later version.
 */
final class JsonValue {

	private final Map<String, Object> fields;

	private JsonValue(Map<String, Object> fields) {
		this.fields = fields;
	}

	/**
	 * Parses a response body.
	 * @param text the body
	 * @return the object
	 * @throws IOException if the text is not a JSON object
	 */
	static JsonValue parse(String text) throws IOException {
		if (BoundedJson.parse(text) instanceof Map<?, ?> map) {
			return of(map);
		}
		throw new IOException("the response is not a JSON object");
	}

	String text(String key) {
		Object value = this.fields.get(key);
		return (value != null) ? value.toString() : "";
	}

	long number(String key) {
		return (this.fields.get(key) instanceof Number number) ? number.longValue() : 0;
	}

	boolean isTrue(String key) {
		return Boolean.TRUE.equals(this.fields.get(key));
	}

	List<String> texts(String key) {
		List<String> texts = new ArrayList<>();
		if (this.fields.get(key) instanceof List<?> list) {
			list.forEach((item) -> texts.add(String.valueOf(item)));
		}
		return texts;
	}

	List<JsonValue> objects(String key) {
		List<JsonValue> objects = new ArrayList<>();
		if (this.fields.get(key) instanceof List<?> list) {
			for (Object item : list) {
				if (item instanceof Map<?, ?> map) {
					objects.add(of(map));
				}
			}
		}
		return objects;
	}

	JsonValue object(String key) {
		return (this.fields.get(key) instanceof Map<?, ?> map) ? of(map) : new JsonValue(Map.of());
	}

	List<String> keys() {
		return List.copyOf(this.fields.keySet());
	}

	private static JsonValue of(Map<?, ?> map) {
		Map<String, Object> fields = new LinkedHashMap<>();
		map.forEach((key, value) -> fields.put(String.valueOf(key), value));
		return new JsonValue(fields);
	}

}
