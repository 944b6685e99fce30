package io.lavenderroad.core.settings;

import java.util.List;
import java.util.OptionalInt;
import java.util.Random;

import io.lavenderroad.core.Problem;
import io.vavr.collection.Seq;
import io.vavr.control.Either;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against settings that are accepted with invalid values, and against input that
 * makes the reader throw instead of reporting a problem.
 */
public class YamlDocumentTests {

	private static final String VALID = "port: 80\nrole: node\nitems: [a, b]\n";

	@Test
	public void everyProblemIsReportedWithItsLine() {
		Either<Seq<Problem>, Integer> result = read("port: 99999\nrole: cook\nitems: 3\nextra: 1\n");
		Assert.assertEquals(result.getLeft().map((problem) -> problem.location().line()).asJava(), List.of(1, 2, 3, 4));
	}

	@Test
	public void duplicateKeyIsRejected() {
		Assert.assertTrue(read("port: 80\nport: 81\nrole: node\n").isLeft());
	}

	@Test
	public void mutatedDocumentsNeverThrow() {
		Random random = new Random(20261204);
		for (int round = 0; round < 5_000; round++) {
			StringBuilder text = new StringBuilder(VALID);
			for (int edit = 0; edit < 1 + random.nextInt(4); edit++) {
				text.setCharAt(random.nextInt(text.length()), (char) random.nextInt(256));
			}
			Assert.assertNotNull(read(text.toString()));
		}
	}

	private static Either<Seq<Problem>, Integer> read(String text) {
		return YamlDocument.read("test.yml", text, (root) -> {
			int port = root.child("port").integer(1, 65_535, OptionalInt.empty());
			root.child("role").oneOf(List.of("node", "control"), null);
			root.child("items").items().forEach(YamlNode::text);
			root.rejectUnknownKeys();
			return port;
		});
	}

}
