package io.lavenderroad.model.rendering;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import io.lavenderroad.core.settings.YamlNode;

/**
 * Parameters of a template while one of its services is read. It collects the names that
 * the service refers to.
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

	Optional<String> refer(String name, YamlNode node, ParameterType<?> type, Optional<Range> range) {
		ParameterDeclaration declaration = this.declarations.get(name);
		if (declaration == null) {
			node.problem("reference to the undeclared parameter '" + name + "'", declared());
			return Optional.empty();
		}
		this.references.add(name);
		if (declaration.type() != type) {
			node.problem("parameter '" + name + "' of type " + declaration.type(), "a parameter of type " + type);
			return Optional.empty();
		}
		if (declaration.fallback().isPresent() && !type.inRange(declaration.fallback().get(), range)) {
			node.problem("parameter '" + name + "' whose default is out of range here", type.allowed(range));
			return Optional.empty();
		}
		return Optional.of(name);
	}

	private String declared() {
		return this.declarations.isEmpty() ? "a value, since the template declares no parameters"
				: "one of $" + String.join(", $", this.declarations.keySet());
	}

}
