package io.lavenderroad.model.rendering;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

import io.lavenderroad.core.Problem;
import io.lavenderroad.core.wire.Fields;
import io.lavenderroad.model.ThinEvidence;
import io.lavenderroad.model.binding.ConfigurationBinding;
import io.vavr.collection.Seq;
import io.vavr.control.Either;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against rendering that differs between members, against documents that make the
 * renderer throw instead of reporting problems, and against calls to services that do not
 * exist.
 */
public class MeshRendererTests {

	private static final String TEMPLATE = """
			kind: template
			name: shop
			parameters:
			  queue: { type: integer, minimum: 1, maximum: 100, default: 10 }
			  timeout: { type: duration, default: 1s }
			  partners: { type: list, default: [] }
			services:
			  front:
			    open-to-callers: true
			    calls: $partners
			    limits: { queue-length: $queue, retry-budget: 2.5% }
			    move: { deadline: 30m }
			    routes:
			      - { name: orders, method: POST, path-prefix: /orders, idempotent: false, timeout: $timeout }
			      - { name: queries, method: GET, path-prefix: /, idempotent: true }
			""";

	private static final String PARAMETERS = """
			kind: parameters
			team: sales
			template: shop
			services:
			  desk: { structure: front, current: v1, queue: 20, partners: [front], move: { to: v2 } }
			  front: { current: v7 }
			""";

	@Test
	public void examplesRender() {
		SortedMap<String, String> documents = new TreeMap<>();
		for (String name : List.of("mokoena/template", "mokoena/parameters", "prairie-pantry/template",
				"prairie-pantry/parameters")) {
			documents.put(name, example(name));
		}
		RenderedMesh mesh = MeshRenderer.render(documents).get();
		Assert.assertEquals(mesh.services().keySet().stream().toList(),
				List.of("catalogue", "counter", "dispatch", "order-desk"));
		mesh.services()
			.values()
			.forEach((service) -> service.configuration()
				.routes()
				.forEach((route) -> Assert.assertEquals(route.idempotent(), route.method().equals("GET"))));
	}

	@Test
	public void moveUsesTheDefaultsOfTheTemplate() {
		Assert.assertEquals(moveOf("mokoena", "catalogue").thinEvidence(), ThinEvidence.HOLD);
		Assert.assertEquals(moveOf("prairie-pantry", "order-desk").thinEvidence(), ThinEvidence.PROCEED);
	}

	@Test
	public void orderOfDocumentsAndKeysDoesNotChangeTheResult() throws Exception {
		RenderedMesh mesh = render(TEMPLATE, PARAMETERS).get();
		String reordered = PARAMETERS.replace("  front: { current: v7 }\n", "")
			.replace("services:\n", "services:\n  front: { current: v7 }\n");
		Assert.assertEquals(render(TEMPLATE, reordered).get().services(), mesh.services());
		RenderedMesh renamed = MeshRenderer.render(new TreeMap<>(Map.of("z", TEMPLATE, "a", PARAMETERS))).get();
		Assert.assertEquals(renamed.services(), mesh.services());
		for (RenderedService service : mesh.services().values()) {
			byte[] bytes = ConfigurationBinding.toBytes(service, RenderingBinding::packService);
			Assert.assertEquals(RenderingBinding.unpackService(Fields.unpacker(bytes)), service);
		}
	}

	@Test
	public void parametersAreAppliedToTheService() {
		RenderedService desk = render(TEMPLATE, PARAMETERS).get().services().get("desk");
		Assert.assertEquals(desk.configuration().limits().queueLength(), 20);
		Assert.assertEquals(desk.configuration().limits().retryBudgetBasisPoints(), 250);
		Assert.assertEquals(desk.configuration().calls(), Set.of("front"));
		Assert.assertEquals(desk.move(), Optional
			.of(new MoveRequest("v1", "v2", 1, new Deadline(true, 1_800_000), ThinEvidence.HOLD, "sequential")));
	}

	@Test
	public void everyProblemIsReportedWithItsLine() {
		String invalid = """
				kind: parameters
				team: sales
				template: shop
				values: { queue: 1000 }
				services:
				  desk: { structure: front, current: v1, partners: [nobody] }
				  front: { current: v7, move: { to: v7, deadline: yesterday, attempt: 0 }, color: red }
				  back: { current: v1 }
				""";
		Seq<Problem> problems = render(TEMPLATE, invalid).getLeft();
		Assert.assertEquals(problems.map((problem) -> problem.location().line()).asJava(), List.of(4, 7, 7, 7, 7, 8),
				problems.mkString("\n"));
	}

	@Test
	public void callToAnUnknownServiceIsReportedAtItsLocation() {
		Problem problem = render(TEMPLATE, PARAMETERS.replace("partners: [front]", "partners: [nobody]")).getLeft()
			.single();
		Assert.assertEquals(problem.location().line(), 5);
		Assert.assertTrue(problem.found().contains("nobody"), problem.toString());
	}

	@Test
	public void serviceOfTwoTeamsIsRejected() {
		SortedMap<String, String> documents = documents(TEMPLATE, PARAMETERS);
		documents.put("other", PARAMETERS.replace("sales", "storage").replace("desk:", "shelf:"));
		Problem problem = MeshRenderer.render(documents).getLeft().single();
		Assert.assertTrue(problem.found().contains("'front'"), problem.toString());
	}

	@Test
	public void invalidTemplatesAndReferencesAreRejected() {
		Assert.assertTrue(render(TEMPLATE.replace("$queue", "$length"), PARAMETERS).isLeft());
		Assert.assertTrue(render(TEMPLATE.replace("$queue", "$timeout"), PARAMETERS).isLeft());
		Assert.assertTrue(render(TEMPLATE.replace("path-prefix: /orders", "path-prefix: orders"), PARAMETERS).isLeft());
		Assert.assertTrue(render(TEMPLATE, PARAMETERS.replace("template: shop", "template: store")).isLeft());
	}

	@Test
	public void shadowedRouteIsRejected() {
		String shadowed = TEMPLATE.replace("method: POST, path-prefix: /orders", "method: '*', path-prefix: /");
		Assert.assertTrue(render(shadowed, PARAMETERS).getLeft().single().found().contains("hides"));
	}

	@Test
	public void mutatedDocumentsNeverThrow() {
		Random random = new Random(20261204);
		int rejected = 0;
		for (int iteration = 0; iteration < 3_000; iteration++) {
			Either<Seq<Problem>, RenderedMesh> result = render(mutate(TEMPLATE, random), mutate(PARAMETERS, random));
			rejected += result.isLeft() ? 1 : 0;
			result.peekLeft((problems) -> problems.forEach((problem) -> Assert.assertNotNull(problem.toString())));
		}
		Assert.assertTrue(rejected > 1_000, rejected + " rejected");
	}

	private static String mutate(String text, Random random) {
		StringBuilder mutated = new StringBuilder(text);
		for (int mutation = 0; mutation < random.nextInt(4); mutation++) {
			int position = random.nextInt(mutated.length());
			switch (random.nextInt(3)) {
				case 0 -> mutated.setCharAt(position, (char) random.nextInt(256));
				case 1 -> mutated.delete(position, Math.min(mutated.length(), position + random.nextInt(40)));
				default ->
					mutated.insert(position, mutated.substring(position, Math.min(mutated.length(), position + 40)));
			}
		}
		return mutated.toString();
	}

	private static MoveRequest moveOf(String deployment, String service) {
		String parameters = example(deployment + "/parameters").replaceFirst(service + ":\n    current: v1",
				service + ":\n    current: v1\n    move: { to: v2 }");
		return MeshRenderer.render(documents(example(deployment + "/template"), parameters))
			.get()
			.services()
			.get(service)
			.move()
			.orElseThrow();
	}

	private static Either<Seq<Problem>, RenderedMesh> render(String template, String parameters) {
		return MeshRenderer.render(documents(template, parameters));
	}

	private static SortedMap<String, String> documents(String template, String parameters) {
		return new TreeMap<>(Map.of("template", template, "parameters", parameters));
	}

	private static String example(String name) {
		try {
			return Files.readString(Path.of("../examples", name + ".yml"));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
