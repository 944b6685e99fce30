package io.lavenderroad.model.rendering;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import io.lavenderroad.core.settings.YamlNode;

/**
 * Resolves the references of one service of a template to the parameters that the
 * template declares, and collects the names of the referenced parameters.
 */
final class ParameterScope {

	private final Map<String, ParameterDeclaration> declarations;

	private final Set<String> references = new TreeSet<>();

	ParameterScope(Map<String, ParameterDeclaration> declarations) {
		this.declarations = declarations;
	}

	Set<String> references() {
		return this.references;
	}

	Optional<String> resolveReference(String name, YamlNode node, ParameterType<?> type, Optional<Range> range) {
		ParameterDeclaration declaration = this.declarations.get(name);
		if (declaration == null) {
			node.addProblem("reference to the undeclared parameter '" + name + "'", allowedReferences());
			return Optional.empty();
		}
		this.references.add(name);
		if (declaration.type() != type) {
			node.addProblem("parameter '" + name + "' of type " + declaration.type(), "a parameter of type " + type);
			return Optional.empty();
		}
		if (declaration.defaultValue().isPresent() && !type.inRange(declaration.defaultValue().get(), range)) {
			node.addProblem("parameter '" + name + "' whose default is out of range here", type.allowed(range));
			return Optional.empty();
		}
		return Optional.of(name);
	}

	private String allowedReferences() {
		return this.declarations.isEmpty() ? "a value, since the template declares no parameters"
				: "one of $" + String.join(", $", this.declarations.keySet());
	}

}
