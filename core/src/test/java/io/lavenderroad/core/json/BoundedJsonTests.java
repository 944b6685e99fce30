package io.lavenderroad.core.json;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.List;
import java.util.Map;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against JSON text whose nesting overflows the stack of the thread that reads it,
 * and against short text that fills the memory of the process.
 */
public class BoundedJsonTests {

	private static final long SMALL_STACK_BYTES = 256 * 1024;

	@Test
	public void deeplyNestedTextIsAnInputError() throws InterruptedException {
		for (String text : List.of("[".repeat(100_000), "{\"a\":".repeat(50_000), "{\"a\":".repeat(900),
				"[".repeat(BoundedJson.MAXIMUM_DEPTH + 1))) {
			Throwable[] thrown = new Throwable[1];
			Thread reader = new Thread(null, () -> thrown[0] = read(text), "reader", SMALL_STACK_BYTES);
			reader.start();
			reader.join();
			Assert.assertTrue(thrown[0] instanceof IOException, String.valueOf(thrown[0]));
		}
	}

	@Test
	public void textOfManySmallValuesIsAnInputError() {
		String text = "[" + "{},".repeat(BoundedJson.MAXIMUM_TOKENS) + "{}]";
		Assert.assertThrows(IOException.class, () -> BoundedJson.parse(text));
	}

	@Test
	public void usualTextIsRead() throws IOException {
		Assert.assertEquals(BoundedJson.parse("{\"a\":[1,{\"b\":null}]}"),
				Map.of("a", List.of(1, Collections.singletonMap("b", null))));
	}

	/**
	 * Guards against a text of which a part is dropped: what stands behind the value, or
	 * the first of two values of one key.
	 */
	@Test
	public void textOfWhichAPartWouldBeDroppedIsAnInputError() throws IOException {
		for (String rest : List.of("{}", "{\"a\":2}", "}", "]", ",", ",\"b\":{\"c\"", "x", "1", "null", " \n {}",
				"\u0000")) {
			Assert.assertThrows(IOException.class, () -> BoundedJson.parse("{\"a\":1}" + rest));
			Assert.assertThrows(IOException.class,
					() -> BoundedJson.parse(("{\"a\":1}" + rest).getBytes(StandardCharsets.UTF_8)));
		}
		for (String text : List.of("{\"a\":1,\"a\":1}", "{\"a\":{\"b\":1,\"c\":2,\"b\":1}}",
				"[{\"a\":1,\"\\u0061\":2}]", "", " ", "{\"a\":1")) {
			Assert.assertThrows(IOException.class, () -> BoundedJson.parse(text));
		}
		Assert.assertEquals(BoundedJson.parse(" {\"a\":{\"a\":1}}\r\n\t "), Map.of("a", Map.of("a", 1)));
	}

	private static Throwable read(String text) {
		try {
			BoundedJson.parse(text);
			return null;
		}
		catch (IOException | StackOverflowError ex) {
			return ex;
		}
	}

}
