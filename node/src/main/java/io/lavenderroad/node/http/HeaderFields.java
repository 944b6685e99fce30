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
 * Immutable header fields of one message in their order.
 */
public final class HeaderFields {

	/**
	 * No fields.
	 */
	public static final HeaderFields NONE = new HeaderFields(List.of());

	/**
	 * Hop-by-hop fields of RFC 9110, section 7.6.1, and those that each hop writes anew.
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
	 * @param pairs names and values in turn
	 * @return the fields
	 */
	public static HeaderFields of(List<String> pairs) {
		return pairs.isEmpty() ? NONE : new HeaderFields(List.copyOf(pairs));
	}

	static HeaderFields ofFields(Header... headers) {
		List<String> pairs = new ArrayList<>(2 * headers.length);
		for (Header header : headers) {
			pairs.add(header.getName());
			pairs.add((header.getValue() != null) ? header.getValue() : "");
		}
		return new HeaderFields(pairs);
	}

	/**
	 * Returns the first value of a field.
	 * @param name name in any case
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
	 * @param name name in any case
	 * @return the value without surrounding space, or an empty text
	 */
	public String text(String name) {
		return first(name).map(String::strip).orElse("");
	}

	/**
	 * Hands each field to a receiver.
	 * @param receiver takes name and value
	 */
	public void forEach(BiConsumer<String, String> receiver) {
		for (int index = 0; index + 1 < this.pairs.size(); index += 2) {
			receiver.accept(this.pairs.get(index), this.pairs.get(index + 1));
		}
	}

	/**
	 * Returns the fields.
	 * @return names and values in turn, not modifiable
	 */
	public List<String> pairs() {
		return this.pairs;
	}

	/**
	 * Selects the fields that concern more than one connection.
	 * @param passed tells whether a field with a lower-case name is passed on besides
	 * @return the selected fields
	 */
	public HeaderFields endToEnd(Predicate<String> passed) {
		Set<String> named = namedByConnection();
		List<String> selected = new ArrayList<>(this.pairs.size());
		forEach((name, value) -> {
			String lower = name.toLowerCase(Locale.ROOT);
			if (!HOP_BY_HOP.contains(lower) && !named.contains(lower) && passed.test(lower)) {
				selected.add(name);
				selected.add(value);
			}
		});
		return new HeaderFields(selected);
	}

	/**
	 * Tells whether the sender closes the connection after this message.
	 * @return true if the field {@code Connection} says so
	 */
	public boolean closesConnection() {
		return namedByConnection().contains("close");
	}

	private Set<String> namedByConnection() {
		Set<String> named = new TreeSet<>();
		forEach((name, value) -> {
			if (name.equalsIgnoreCase("connection")) {
				for (String token : value.split(",")) {
					named.add(token.strip().toLowerCase(Locale.ROOT));
				}
			}
		});
		return named;
	}

	@Override
	public String toString() {
		return this.pairs.toString();
	}

}
