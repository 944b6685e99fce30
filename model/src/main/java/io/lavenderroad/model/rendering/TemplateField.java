package io.lavenderroad.model.rendering;

import java.util.Map;
import java.util.Optional;

import io.lavenderroad.core.settings.YamlNode;

/**
 * Field of a template. It holds a literal value or refers to a parameter by
 * {@code $name}.
 *
 * @param <T> type of the value
 * @param type type of the value
 * @param range allowed range of this field, or empty for the full range of the type
 * @param literal the value, if the template gives one
 * @param reference name of the parameter, if the template refers to one
 */
record TemplateField<T>(ParameterType<T> type, Optional<Range> range, Optional<T> literal, Optional<String> reference) {

	private static final String REFERENCE_PREFIX = "$";

	/**
	 * Reads an optional field. Problems are reported at the node.
	 * @param <T> type of the value
	 * @param node the field in the template
	 * @param type type of the value
	 * @param range allowed range of this field
	 * @param scope parameters of the template
	 * @return the field, without literal and reference if the node is absent or invalid
	 */
	static <T> TemplateField<T> read(YamlNode node, ParameterType<T> type, Optional<Range> range,
			ParameterScope scope) {
		Optional<String> text = (node.isMapping() || node.isSequence()) ? Optional.empty() : node.text();
		if (text.isEmpty() || !text.get().startsWith(REFERENCE_PREFIX)) {
			return new TemplateField<>(type, range, type.read(node, range), Optional.empty());
		}
		String name = text.get().substring(REFERENCE_PREFIX.length());
		return new TemplateField<>(type, range, Optional.empty(), scope.resolveReference(name, node, type, range));
	}

	/**
	 * Reads a required field. Problems are reported at the node.
	 * @param <T> type of the value
	 * @param node the field in the template
	 * @param type type of the value
	 * @param range allowed range of this field
	 * @param scope parameters of the template
	 * @return the field, without literal and reference if the node is absent or invalid
	 */
	static <T> TemplateField<T> readRequired(YamlNode node, ParameterType<T> type, Optional<Range> range,
			ParameterScope scope) {
		if (!node.isPresent()) {
			node.addProblem("nothing", type.allowed(range) + ", or a parameter");
		}
		return read(node, type, range, scope);
	}

	/**
	 * Returns the value of this field for one service.
	 * @param values values of the parameters
	 * @return the value, or empty if the field is absent or its value is missing or
	 * invalid
	 */
	Optional<T> resolve(Map<String, ParameterValue> values) {
		if (this.reference.isEmpty()) {
			return this.literal;
		}
		ParameterValue value = values.get(this.reference.get());
		if (value == null) {
			return Optional.empty();
		}
		if (!this.type.inRange(value.value(), this.range)) {
			value.node()
				.ifPresent((node) -> node.addProblem(node.describe(),
						this.type.allowed(this.range) + " where the template uses it"));
			return Optional.empty();
		}
		return Optional.of(this.type.cast(value.value()));
	}

}
