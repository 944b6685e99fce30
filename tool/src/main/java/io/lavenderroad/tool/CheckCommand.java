package io.lavenderroad.tool;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.lavenderroad.core.Problem;
import io.lavenderroad.model.rendering.MeshRenderer;
import io.lavenderroad.model.rendering.RenderedMesh;
import io.vavr.collection.Seq;
import io.vavr.control.Either;

/**
 * Validates documents locally, without a control member.
 */
@Parameters(commandDescription = "check documents locally; all documents of the mesh must be named")
final class CheckCommand extends ToolCommand {

	@Parameter(description = "DIR|FILE...")
	private List<String> paths = new ArrayList<>();

	@Override
	ExitCode run(ToolContext context) {
		this.options.validate();
		Documents documents = ApplyCommand.readDocuments(this.paths, List.of());
		SortedMap<String, String> byFile = new TreeMap<>();
		documents.texts().forEach((name, text) -> byFile.put(documents.displayName(name), text));
		Either<Seq<Problem>, RenderedMesh> mesh = MeshRenderer.render(byFile);
		if (mesh.isLeft()) {
			throw new ToolException(ExitCode.INVALID_INPUT, Documents.formatProblems(mesh.getLeft().asJava()));
		}
		context.out()
			.println(byFile.size() + " documents are valid and set the services "
					+ String.join(", ", mesh.get().services().keySet()));
		return ExitCode.SUCCESS;
	}

}
