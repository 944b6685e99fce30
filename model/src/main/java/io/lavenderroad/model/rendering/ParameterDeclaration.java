package io.lavenderroad.model.rendering;

import java.util.List;
import java.util.Optional;

import io.lavenderroad.core.settings.YamlNode;

/**
 * Parameter that a template declares.
 *
 * @param name name of the parameter
 * @param type type of its values
 * @param range allowed range of its values, or empty for the widest of the type
 * @param fallback value that applies when a team sets none
 */
record ParameterDeclaration(String name, ParameterType<?> type, Optional<Range> range, Optional<Object> fallback) {

	static ParameterDeclaration read(String name, YamlNode node) {
		String label = node.child("type").word(ParameterType.labels(), null);
		ParameterType<?> type = ParameterType.labelled(label).orElse(ParameterType.NAME);
		Optional<Range> range = readRange(node, type);
		Optional<Object> fallback = type.read(node.child("default"), range).map(Object.class::cast);
		node.rejectUnknownKeys();
		return new ParameterDeclaration(name, type, range, fallback);
	}

	Optional<Object> readValue(YamlNode node) {
		if (!node.present()) {
			node.problem("nothing", this.type.allowed(this.range));
		}
		return this.type.read(node, this.range).map(Object.class::cast);
	}

	private static Optional<Range> readRange(YamlNode node, ParameterType<?> type) {
		YamlNode minimum = node.child("minimum");
		YamlNode maximum = node.child("maximum");
		if (type.widestRange().isEmpty()) {
			List.of(minimum, maximum)
				.stream()
				.filter(YamlNode::present)
				.forEach((bound) -> bound.problem(bound.describe(), "no range for type " + type));
			return Optional.empty();
		}
		Range widest = type.widestRange().get();
		long low = type.read(minimum, Optional.empty()).map(ParameterDeclaration::number).orElse(widest.minimum());
		long high = type.read(maximum, Optional.empty()).map(ParameterDeclaration::number).orElse(widest.maximum());
		if (low > high) {
			minimum.problem(minimum.describe(), "a minimum that is not over the maximum");
			return Optional.empty();
		}
		return Optional.of(new Range(low, high));
	}

	private static long number(Object value) {
		return ((Number) value).longValue();
	}

}
