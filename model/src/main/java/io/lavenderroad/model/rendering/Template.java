package io.lavenderroad.model.rendering;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import io.lavenderroad.core.Location;
import io.lavenderroad.core.settings.YamlNode;

/**
 * Template with typed parameters and the structures of services.
 *
 * @param name name of the template
 * @param location where the template declares its name
 * @param parameters declared parameters by name
 * @param structures service structures by name
 */
record Template(String name, Location location, Map<String, ParameterDeclaration> parameters,
		Map<String, ServiceStructure> structures) {

	/**
	 * Keys with a fixed meaning in the services of a parameters document. No parameter
	 * may have such a name.
	 */
	static final Set<String> RESERVED_KEYS = Set.of("structure", "current", "move", "at-once");

	static Template read(YamlNode root) {
		root.child(MeshRenderer.KIND_KEY);
		String allowed = ParameterType.NAME.allowed(Optional.empty());
		YamlNode nameNode = root.child("name");
		String name = nameNode.requiredText(allowed, ParameterType.NAME_PATTERN);
		Map<String, ParameterDeclaration> parameters = readParameters(root.child("parameters"));
		Map<String, ServiceStructure> structures = new TreeMap<>();
		YamlNode services = root.child("services");
		for (String key : services.keys()) {
			YamlNode service = services.child(key);
			if (!ParameterType.NAME_PATTERN.matcher(key).matches()) {
				service.addProblem("service '" + key + "'", allowed);
			}
			structures.put(key, ServiceStructure.read(key, service, parameters));
		}
		if (structures.isEmpty()) {
			services.addProblem(services.describe(), "a mapping with at least one service");
		}
		root.rejectUnknownKeys();
		return new Template(name, nameNode.location(), parameters, structures);
	}

	private static Map<String, ParameterDeclaration> readParameters(YamlNode node) {
		Map<String, ParameterDeclaration> parameters = new TreeMap<>();
		for (String key : node.keys()) {
			YamlNode parameter = node.child(key);
			if (RESERVED_KEYS.contains(key) || !ParameterType.NAME_PATTERN.matcher(key).matches()) {
				parameter.addProblem("parameter '" + key + "'", ParameterType.NAME.allowed(Optional.empty())
						+ ", other than structure, current, move and at-once");
			}
			parameters.put(key, ParameterDeclaration.read(key, parameter));
		}
		node.rejectUnknownKeys();
		return parameters;
	}

}
