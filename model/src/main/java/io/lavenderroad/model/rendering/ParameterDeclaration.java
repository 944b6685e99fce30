package io.lavenderroad.model.rendering;

import java.util.List;
import java.util.Optional;

import io.lavenderroad.core.settings.YamlNode;

/**
 * Parameter that a template declares.
 *
 * @param name name of the parameter
 * @param type type of its values
 * @param range allowed range of its values, or empty for the full range of the type
 * @param defaultValue value that applies if a team sets none
 */
record ParameterDeclaration(String name, ParameterType<?> type, Optional<Range> range, Optional<Object> defaultValue) {

	static ParameterDeclaration read(String name, YamlNode node) {
		String label = node.child("type").oneOf(ParameterType.labels(), null);
		ParameterType<?> type = ParameterType.forLabel(label).orElse(ParameterType.NAME);
		Optional<Range> range = readRange(node, type);
		Optional<Object> defaultValue = type.read(node.child("default"), range).map(Object.class::cast);
		node.rejectUnknownKeys();
		return new ParameterDeclaration(name, type, range, defaultValue);
	}

	Optional<Object> readValue(YamlNode node) {
		if (!node.isPresent()) {
			node.addProblem("nothing", this.type.allowed(this.range));
		}
		return this.type.read(node, this.range).map(Object.class::cast);
	}

	private static Optional<Range> readRange(YamlNode node, ParameterType<?> type) {
		YamlNode minimum = node.child("minimum");
		YamlNode maximum = node.child("maximum");
		if (type.fullRange().isEmpty()) {
			List.of(minimum, maximum)
				.stream()
				.filter(YamlNode::isPresent)
				.forEach((bound) -> bound.addProblem(bound.describe(), "no range for type " + type));
			return Optional.empty();
		}
		Range fullRange = type.fullRange().get();
		long minimumValue = type.read(minimum, Optional.empty())
			.map(ParameterDeclaration::number)
			.orElse(fullRange.minimum());
		long maximumValue = type.read(maximum, Optional.empty())
			.map(ParameterDeclaration::number)
			.orElse(fullRange.maximum());
		if (minimumValue > maximumValue) {
			minimum.addProblem(minimum.describe(), "a minimum that is not over the maximum");
			return Optional.empty();
		}
		return Optional.of(new Range(minimumValue, maximumValue));
	}

	private static long number(Object value) {
		return ((Number) value).longValue();
	}

}
