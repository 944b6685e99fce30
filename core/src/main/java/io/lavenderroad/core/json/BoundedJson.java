package io.lavenderroad.core.json;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.jr.ob.JSON;

/**
 * Reader for JSON text that other processes have written. Text beyond the limits fails
 * with a {@link com.fasterxml.jackson.core.exc.StreamConstraintsException}, which is an
 * {@link java.io.IOException}, before the reader recurses into it.
 */
public final class BoundedJson {

	/**
	 * Maximum number of objects and lists around a value. The reader recurses for each of
	 * them, and threads have small stacks.
	 */
	public static final int MAXIMUM_DEPTH = 32;

	/**
	 * Maximum number of characters of a number.
	 */
	private static final int MAXIMUM_NUMBER_CHARACTERS = 40;

	/**
	 * Maximum number of tokens. Each takes up to some hundred bytes of memory, however
	 * short its text is.
	 */
	static final int MAXIMUM_TOKENS = 400_000;

	private static final JsonFactory FACTORY = JsonFactory.builder()
		.enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
		.streamReadConstraints(StreamReadConstraints.builder()
			.maxNestingDepth(MAXIMUM_DEPTH)
			.maxNumberLength(MAXIMUM_NUMBER_CHARACTERS)
			.maxTokenCount(MAXIMUM_TOKENS)
			.build())
		.build();

	private static final JSON READER = JSON.builder(FACTORY).build();

	private BoundedJson() {
	}

	/**
	 * Reads a text to its end. It holds one value, and no object has a key twice.
	 * @param text the text in UTF-8
	 * @return the value, composed of maps, lists, strings, numbers, booleans and nulls
	 * @throws IOException if the text is malformed, is beyond the limits or goes on after
	 * the value
	 */
	public static Object parse(byte[] text) throws IOException {
		try (JsonParser parser = FACTORY.createParser(text)) {
			return parse(parser);
		}
	}

	/**
	 * Reads a text to its end. It holds one value, and no object has a key twice.
	 * @param text the text
	 * @return the value, composed of maps, lists, strings, numbers, booleans and nulls
	 * @throws IOException if the text is malformed, is beyond the limits or goes on after
	 * the value
	 */
	public static Object parse(String text) throws IOException {
		try (JsonParser parser = FACTORY.createParser(text)) {
			return parse(parser);
		}
	}

	private static Object parse(JsonParser parser) throws IOException {
		Object value = READER.anyFrom(parser);
		if (parser.nextToken() != null) {
			throw new JsonParseException(parser, "the text goes on after its value", parser.currentTokenLocation());
		}
		return value;
	}

}
