package io.lavenderroad.model.rendering;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import io.lavenderroad.core.Location;
import io.lavenderroad.core.Problem;
import io.lavenderroad.core.settings.YamlDocument;
import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.vavr.control.Either;

/**
 * Renders templates and parameters documents to services. The result depends only on the
 * texts of the documents, so every process renders the same documents to the same
 * services.
 */
public final class MeshRenderer {

	/**
	 * Maximum total size of the documents of one change, in bytes of UTF-8. For
	 * comparison, the parameters of 1,000 services with four keys each take about 70 KB.
	 */
	public static final int MAXIMUM_DOCUMENT_BYTES = 1024 * 1024;

	static final String KIND_KEY = "kind";

	private static final String TEMPLATE = "template";

	private static final String PARAMETERS = "parameters";

	private final Map<String, Template> templates = new TreeMap<>();

	private final Map<String, Location> teamLocations = new TreeMap<>();

	private final Map<String, Location> serviceLocations = new TreeMap<>();

	private final SortedMap<String, RenderedService> services = new TreeMap<>();

	private final Map<String, Location> callsLocations = new TreeMap<>();

	private final List<Problem> problems = new ArrayList<>();

	private boolean templatesIncomplete;

	private MeshRenderer() {
	}

	/**
	 * Renders documents.
	 * @param documents texts of all templates and parameters documents by name
	 * @return the services, or all problems in the order of document, line and column
	 */
	public static Either<Seq<Problem>, RenderedMesh> render(SortedMap<String, String> documents) {
		return new MeshRenderer().renderAll(documents);
	}

	/**
	 * Returns the name under which the tool stores a document. It consists of the kind
	 * and the name that the document declares, so it does not depend on where the
	 * operator keeps the file.
	 * @param source name of the file for locations
	 * @param text the document
	 * @return a name such as {@code template/shop}, or the problems
	 */
	public static Either<Seq<Problem>, String> documentName(String source, String text) {
		return YamlDocument.read(source, text, (root) -> {
			String kind = root.child(KIND_KEY).oneOf(List.of(TEMPLATE, PARAMETERS), null);
			String key = kind.equals(TEMPLATE) ? "name" : "team";
			return kind + "/" + root.child(key)
				.requiredText(ParameterType.NAME.allowed(Optional.empty()), ParameterType.NAME_PATTERN);
		});
	}

	/**
	 * Returns the total size of documents.
	 * @param documents texts of documents by name
	 * @return size in bytes of UTF-8
	 */
	public static long totalBytes(Map<String, String> documents) {
		return documents.values().stream().mapToLong((text) -> text.getBytes(StandardCharsets.UTF_8).length).sum();
	}

	private Either<Seq<Problem>, RenderedMesh> renderAll(SortedMap<String, String> documents) {
		SortedMap<String, String> parameters = new TreeMap<>();
		documents.forEach((source, text) -> {
			Either<Seq<Problem>, String> kind = YamlDocument.read(source, text,
					(root) -> root.child(KIND_KEY).oneOf(List.of(TEMPLATE, PARAMETERS), null));
			if (kind.isLeft()) {
				this.problems.addAll(kind.getLeft().asJava());
				this.templatesIncomplete = true;
			}
			else if (kind.get().equals(TEMPLATE)) {
				addTemplate(source, text);
			}
			else {
				parameters.put(source, text);
			}
		});
		parameters.forEach(this::addParameters);
		checkCalledServices();
		if (this.problems.isEmpty()) {
			return Either.right(new RenderedMesh(this.services, this.serviceLocations));
		}
		Comparator<Problem> order = Comparator.comparing((Problem problem) -> problem.location().source())
			.thenComparing((problem) -> problem.location().line())
			.thenComparing((problem) -> problem.location().column());
		return Either.left(Vector.ofAll(this.problems.stream().distinct().sorted(order).toList()));
	}

	private void addTemplate(String source, String text) {
		Either<Seq<Problem>, Template> template = YamlDocument.read(source, text, Template::read);
		if (template.isLeft()) {
			this.problems.addAll(template.getLeft().asJava());
			this.templatesIncomplete = true;
			return;
		}
		Template existing = this.templates.putIfAbsent(template.get().name(), template.get());
		if (existing != null) {
			this.problems.add(new Problem(template.get().location(),
					"template '" + existing.name() + "', which is also at " + existing.location(),
					"each template once"));
		}
	}

	private void addParameters(String source, String text) {
		Either<Seq<Problem>, List<RenderedService>> rendered = YamlDocument.read(source, text,
				(root) -> new ParametersDocumentReader(this.templates, this.templatesIncomplete, this.teamLocations,
						this.serviceLocations, this.callsLocations)
					.read(root));
		rendered.peekLeft((found) -> this.problems.addAll(found.asJava()));
		rendered.peek((found) -> found.forEach((service) -> this.services.put(service.name(), service)));
	}

	private void checkCalledServices() {
		for (RenderedService service : this.services.values()) {
			for (String calledService : service.configuration().calls()) {
				if (!this.serviceLocations.containsKey(calledService)) {
					this.problems.add(new Problem(this.callsLocations.get(service.name()),
							"service '" + service.name() + "' calls the unknown service '" + calledService + "'",
							"services that a parameters document sets"));
				}
			}
		}
	}

}
