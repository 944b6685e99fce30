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
 * Reads the parameters document of one team and fills the structures of its template.
 */
final class ParametersDocument {

	private final Map<String, Template> templates;

	private final boolean templateFailed;

	private final Map<String, Location> teams;

	private final Map<String, Location> declared;

	private final Map<String, Location> callsLocations;

	/**
	 * Creates a reader.
	 * @param templates templates by name
	 * @param templateFailed whether some template could not be read, so that an unknown
	 * template is no further problem
	 * @param teams teams read so far, extended by this document
	 * @param declared services read so far, extended by this document
	 * @param callsLocations where the calls of each service are set, extended by this
	 * document
	 */
	ParametersDocument(Map<String, Template> templates, boolean templateFailed, Map<String, Location> teams,
			Map<String, Location> declared, Map<String, Location> callsLocations) {
		this.templates = templates;
		this.templateFailed = templateFailed;
		this.teams = teams;
		this.declared = declared;
		this.callsLocations = callsLocations;
	}

	List<RenderedService> read(YamlNode root) {
		root.child(MeshRenderer.KIND_KEY);
		YamlNode teamNode = root.child("team");
		String team = teamNode.requiredText(ParameterType.NAME.allowed(Optional.empty()), ParameterType.NAME_PATTERN);
		Location first = this.teams.putIfAbsent(team, teamNode.location());
		if (first != null && !team.isEmpty()) {
			teamNode.problem("team '" + team + "', which is also at " + first, "one parameters document for each team");
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
			servicesNode.problem(servicesNode.describe(), "a mapping with at least one service");
		}
		return services;
	}

	private Optional<Template> findTemplate(YamlNode node) {
		String name = node.requiredText("the name of a template", ParameterType.NAME_PATTERN);
		Template template = this.templates.get(name);
		if (template == null && !name.isEmpty() && !this.templateFailed) {
			node.problem("unknown template '" + name + "'", this.templates.isEmpty() ? "a template among the documents"
					: "one of " + String.join(", ", this.templates.keySet()));
		}
		return Optional.ofNullable(template);
	}

	private void declareServices(YamlNode services) {
		for (String key : new TreeSet<>(services.keys())) {
			YamlNode service = services.child(key);
			if (!ParameterType.NAME_PATTERN.matcher(key).matches()) {
				service.problem("service '" + key + "'", ParameterType.NAME.allowed(Optional.empty()));
			}
			Location first = this.declared.putIfAbsent(key, service.location());
			if (first != null) {
				service.problem("service '" + key + "', which is also at " + first, "each service in one document");
			}
		}
	}

	private Map<String, ParameterValue> readShared(YamlNode node, Template template) {
		Map<String, ParameterValue> values = new TreeMap<>();
		template.parameters()
			.forEach((name, declaration) -> declaration.fallback()
				.ifPresent((fallback) -> values.put(name, new ParameterValue(fallback, Optional.empty()))));
		for (String key : node.keys()) {
			YamlNode value = node.child(key);
			ParameterDeclaration declaration = template.parameters().get(key);
			if (declaration == null) {
				value.problem("unknown parameter '" + key + "'", oneOf(template.parameters().keySet()));
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
		String structureName = structureNode.present() ? structureNode.text().orElse("") : name;
		ServiceStructure structure = template.structures().get(structureName);
		if (structure == null) {
			YamlNode place = structureNode.present() ? structureNode : node;
			place.problem("no service '" + structureName + "' in template '" + template.name() + "'",
					oneOf(template.structures().keySet()));
			return Optional.empty();
		}
		Map<String, ParameterValue> values = readValues(node, template, structure, shared);
		this.callsLocations.put(name, callsLocation(node, structure, values));
		YamlNode currentNode = node.child("current");
		Optional<String> current = currentNode.present() ? ParameterType.VERSION.read(currentNode, Optional.empty())
				: structure.current().resolve(values);
		if (current.isEmpty() && !currentNode.present()) {
			currentNode.problem("nothing", ParameterType.VERSION.allowed(Optional.empty()));
		}
		String version = current.orElse("");
		Optional<MoveRequest> move = structure.move().resolve(version, node.child("move"), values);
		Optional<String> atOnce = ParameterType.VERSION.read(node.child("at-once"), Optional.empty());
		node.rejectUnknownKeys();
		Set<String> versions = new TreeSet<>(Set.of(version));
		move.ifPresent((request) -> versions.add(request.to()));
		ServiceConfiguration configuration = structure.resolve(name, values)
			.team(team)
			.versions(versions)
			.split(Map.of(version, ServiceConfiguration.WHOLE_SHARE))
			.build();
		return Optional.of(new RenderedService(configuration, version, move, atOnce));
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
				Set<String> known = new TreeSet<>(structure.references());
				known.addAll(Template.RESERVED_KEYS);
				value.problem("key '" + key + "', which service '" + structure.name() + "' of template '"
						+ template.name() + "' does not use", oneOf(known));
				continue;
			}
			template.parameters()
				.get(key)
				.readValue(value)
				.ifPresent((read) -> values.put(key, new ParameterValue(read, Optional.of(value))));
		}
		for (String reference : structure.references()) {
			if (!values.containsKey(reference) && !node.child(reference).present()) {
				node.problem("no value for parameter '" + reference + "' of template '" + template.name() + "'",
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
