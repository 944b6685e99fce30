package io.lavenderroad.model.rendering;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import io.lavenderroad.core.Location;
import io.lavenderroad.core.settings.YamlNode;
import io.lavenderroad.model.ServiceConfiguration;

/**
 * Reads the parameters document of one team and renders its services from the structures
 * of its template.
 */
final class ParametersDocumentReader {

	private final Map<String, Template> templates;

	private final boolean templatesIncomplete;

	private final Map<String, Location> teamLocations;

	private final Map<String, Location> serviceLocations;

	private final Map<String, Location> callsLocations;

	/**
	 * Creates a reader.
	 * @param templates templates by name
	 * @param templatesIncomplete whether a document that is or may be a template could
	 * not be read, in which case an unknown template is not reported as a further problem
	 * @param teamLocations locations of the teams read so far, extended by this document
	 * @param serviceLocations locations of the services read so far, extended by this
	 * document
	 * @param callsLocations where the calls of each service are set, extended by this
	 * document
	 */
	ParametersDocumentReader(Map<String, Template> templates, boolean templatesIncomplete,
			Map<String, Location> teamLocations, Map<String, Location> serviceLocations,
			Map<String, Location> callsLocations) {
		this.templates = templates;
		this.templatesIncomplete = templatesIncomplete;
		this.teamLocations = teamLocations;
		this.serviceLocations = serviceLocations;
		this.callsLocations = callsLocations;
	}

	List<RenderedService> read(YamlNode root) {
		root.child(MeshRenderer.KIND_KEY);
		YamlNode teamNode = root.child("team");
		String team = teamNode.requiredText(ParameterType.NAME.allowed(Optional.empty()), ParameterType.NAME_PATTERN);
		Location existing = this.teamLocations.putIfAbsent(team, teamNode.location());
		if (existing != null && !team.isEmpty()) {
			teamNode.addProblem("team '" + team + "', which is also at " + existing,
					"one parameters document for each team");
		}
		YamlNode templateNode = root.child("template");
		Optional<Template> template = findTemplate(templateNode);
		YamlNode values = root.child("values");
		YamlNode servicesNode = root.child("services");
		root.rejectUnknownKeys();
		declareServices(servicesNode);
		List<RenderedService> services = new ArrayList<>();
		if (template.isPresent()) {
			Map<String, ParameterValue> shared = readShared(values, template.get());
			for (String key : servicesNode.keys()) {
				readService(team, key, servicesNode.child(key), template.get(), shared).ifPresent(services::add);
			}
		}
		if (servicesNode.keys().isEmpty()) {
			servicesNode.addProblem(servicesNode.describe(), "a mapping with at least one service");
		}
		return services;
	}

	private Optional<Template> findTemplate(YamlNode node) {
		String name = node.requiredText("the name of a template", ParameterType.NAME_PATTERN);
		Template template = this.templates.get(name);
		if (template == null && !name.isEmpty() && !this.templatesIncomplete) {
			node.addProblem("unknown template '" + name + "'", this.templates.isEmpty()
					? "a template among the documents" : "one of " + String.join(", ", this.templates.keySet()));
		}
		return Optional.ofNullable(template);
	}

	private void declareServices(YamlNode services) {
		for (String key : new TreeSet<>(services.keys())) {
			YamlNode service = services.child(key);
			if (!ParameterType.NAME_PATTERN.matcher(key).matches()) {
				service.addProblem("service '" + key + "'", ParameterType.NAME.allowed(Optional.empty()));
			}
			Location existing = this.serviceLocations.putIfAbsent(key, service.location());
			if (existing != null) {
				service.addProblem("service '" + key + "', which is also at " + existing,
						"each service in one document");
			}
		}
	}

	private Map<String, ParameterValue> readShared(YamlNode node, Template template) {
		Map<String, ParameterValue> values = new TreeMap<>();
		template.parameters()
			.forEach((name, declaration) -> declaration.defaultValue()
				.ifPresent((defaultValue) -> values.put(name, new ParameterValue(defaultValue, Optional.empty()))));
		for (String key : node.keys()) {
			YamlNode value = node.child(key);
			ParameterDeclaration declaration = template.parameters().get(key);
			if (declaration == null) {
				value.addProblem("unknown parameter '" + key + "'", oneOf(template.parameters().keySet()));
			}
			else {
				declaration.readValue(value)
					.ifPresent((read) -> values.put(key, new ParameterValue(read, Optional.of(value))));
			}
		}
		node.rejectUnknownKeys();
		return values;
	}

	private Optional<RenderedService> readService(String team, String name, YamlNode node, Template template,
			Map<String, ParameterValue> shared) {
		YamlNode structureNode = node.child("structure");
		String structureName = structureNode.isPresent() ? structureNode.text().orElse("") : name;
		ServiceStructure structure = template.structures().get(structureName);
		if (structure == null) {
			YamlNode problemNode = structureNode.isPresent() ? structureNode : node;
			problemNode.addProblem("no service '" + structureName + "' in template '" + template.name() + "'",
					oneOf(template.structures().keySet()));
			return Optional.empty();
		}
		Map<String, ParameterValue> values = readValues(node, template, structure, shared);
		this.callsLocations.put(name, callsLocation(node, structure, values));
		YamlNode currentNode = node.child("current");
		Optional<String> current = currentNode.isPresent() ? ParameterType.VERSION.read(currentNode, Optional.empty())
				: structure.current().resolve(values);
		if (current.isEmpty() && !currentNode.isPresent()) {
			currentNode.addProblem("nothing", ParameterType.VERSION.allowed(Optional.empty()));
		}
		String version = current.orElse("");
		Optional<MoveRequest> move = structure.move().resolve(version, node.child("move"), values);
		Optional<String> immediateVersion = ParameterType.VERSION.read(node.child("at-once"), Optional.empty());
		node.rejectUnknownKeys();
		Set<String> versions = new TreeSet<>(Set.of(version));
		move.ifPresent((request) -> versions.add(request.to()));
		ServiceConfiguration configuration = structure.resolve(name, values)
			.team(team)
			.versions(versions)
			.split(Map.of(version, ServiceConfiguration.FULL_SHARE_BASIS_POINTS))
			.build();
		return Optional.of(new RenderedService(configuration, version, move, immediateVersion));
	}

	private Map<String, ParameterValue> readValues(YamlNode node, Template template, ServiceStructure structure,
			Map<String, ParameterValue> shared) {
		Map<String, ParameterValue> values = new TreeMap<>(shared);
		for (String key : node.keys()) {
			if (Template.RESERVED_KEYS.contains(key)) {
				continue;
			}
			YamlNode value = node.child(key);
			if (!structure.references().contains(key)) {
				Set<String> allowedKeys = new TreeSet<>(structure.references());
				allowedKeys.addAll(Template.RESERVED_KEYS);
				value.addProblem("key '" + key + "', which service '" + structure.name() + "' of template '"
						+ template.name() + "' does not use", oneOf(allowedKeys));
				continue;
			}
			template.parameters()
				.get(key)
				.readValue(value)
				.ifPresent((read) -> values.put(key, new ParameterValue(read, Optional.of(value))));
		}
		for (String reference : structure.references()) {
			if (!values.containsKey(reference) && !node.child(reference).isPresent()) {
				node.addProblem("no value for parameter '" + reference + "' of template '" + template.name() + "'",
						template.parameters().get(reference).type().allowed(Optional.empty()));
			}
		}
		return values;
	}

	private static Location callsLocation(YamlNode node, ServiceStructure structure,
			Map<String, ParameterValue> values) {
		return structure.calls()
			.reference()
			.map(values::get)
			.flatMap(ParameterValue::node)
			.map(YamlNode::location)
			.orElse(node.location());
	}

	private static String oneOf(Set<String> names) {
		return names.isEmpty() ? "no parameters" : "one of " + String.join(", ", names);
	}

}
