package io.lavenderroad.node.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

import org.apache.hc.core5.http.Header;

/**
 * Immutable header fields of one message in their original order.
 */
public final class HeaderFields {

	/**
	 * No fields.
	 */
	public static final HeaderFields NONE = new HeaderFields(List.of());

	/**
	 * Hop-by-hop fields of RFC 9110, section 7.6.1, and fields that each hop sets itself.
	 */
	private static final Set<String> HOP_BY_HOP = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
			"content-length", "expect", "http2-settings");

	private final List<String> pairs;

	private HeaderFields(List<String> pairs) {
		this.pairs = pairs;
	}

	/**
	 * Creates fields.
	 * @param pairs alternating names and values
	 * @return the fields
	 */
	public static HeaderFields of(List<String> pairs) {
		return pairs.isEmpty() ? NONE : new HeaderFields(List.copyOf(pairs));
	}

	static HeaderFields ofHeaders(Header... headers) {
		List<String> pairs = new ArrayList<>(2 * headers.length);
		for (Header header : headers) {
			pairs.add(header.getName());
			pairs.add((header.getValue() != null) ? header.getValue() : "");
		}
		return new HeaderFields(pairs);
	}

	/**
	 * Returns the first value of a field.
	 * @param name name of the field, not case-sensitive
	 * @return the value, empty if the field is missing
	 */
	public Optional<String> first(String name) {
		for (int index = 0; index + 1 < this.pairs.size(); index += 2) {
			if (this.pairs.get(index).equalsIgnoreCase(name)) {
				return Optional.of(this.pairs.get(index + 1));
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns the first value of a field as text.
	 * @param name name of the field, not case-sensitive
	 * @return the value without surrounding white space, or an empty string
	 */
	public String text(String name) {
		return first(name).map(String::strip).orElse("");
	}

	/**
	 * Passes each field to a consumer.
	 * @param consumer accepts the name and value
	 */
	public void forEach(BiConsumer<String, String> consumer) {
		for (int index = 0; index + 1 < this.pairs.size(); index += 2) {
			consumer.accept(this.pairs.get(index), this.pairs.get(index + 1));
		}
	}

	/**
	 * Returns the fields.
	 * @return alternating names and values, not modifiable
	 */
	public List<String> pairs() {
		return this.pairs;
	}

	/**
	 * Returns the end-to-end fields: all fields except the hop-by-hop ones and those that
	 * the field {@code Connection} names.
	 * @param isForwarded tests, by its lower-case name, whether a field is forwarded;
	 * applies in addition
	 * @return the selected fields
	 */
	public HeaderFields endToEnd(Predicate<String> isForwarded) {
		Set<String> connectionOptions = connectionOptions();
		List<String> selected = new ArrayList<>(this.pairs.size());
		forEach((name, value) -> {
			String lowerCaseName = name.toLowerCase(Locale.ROOT);
			if (!HOP_BY_HOP.contains(lowerCaseName) && !connectionOptions.contains(lowerCaseName)
					&& isForwarded.test(lowerCaseName)) {
				selected.add(name);
				selected.add(value);
			}
		});
		return new HeaderFields(selected);
	}

	/**
	 * Returns whether the sender closes the connection after this message.
	 * @return true if the field {@code Connection} has the option {@code close}
	 */
	public boolean closesConnection() {
		return connectionOptions().contains("close");
	}

	private Set<String> connectionOptions() {
		Set<String> connectionOptions = new TreeSet<>();
		forEach((name, value) -> {
			if (name.equalsIgnoreCase("connection")) {
				for (String token : value.split(",")) {
					connectionOptions.add(token.strip().toLowerCase(Locale.ROOT));
				}
			}
		});
		return connectionOptions;
	}

	@Override
	public String toString() {
		return this.pairs.toString();
	}

}
