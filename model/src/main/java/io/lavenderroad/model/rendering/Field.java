package io.lavenderroad.model.rendering;

import java.util.Map;
import java.util.Optional;

import io.lavenderroad.core.settings.YamlNode;

/**
 * Place in a template that holds a value or refers to a parameter by {@code $name}.
 *
 * @param <T> type of the value
 * @param type type of the value
 * @param range allowed range at this place, or empty for the widest of the type
 * @param literal the value, if the template states one
 * @param reference name of the parameter, if the template refers to one
 */
record Field<T>(ParameterType<T> type, Optional<Range> range, Optional<T> literal, Optional<String> reference) {

	private static final String REFERENCE_PREFIX = "$";

	/**
	 * Reads an optional field.
	 * @param <T> type of the value
	 * @param node the place in the template
	 * @param type type of the value
	 * @param range allowed range at this place
	 * @param scope parameters of the template
	 * @return the field, without value and reference if the node is absent or wrong
	 */
	static <T> Field<T> read(YamlNode node, ParameterType<T> type, Optional<Range> range, ParameterScope scope) {
		Optional<String> text = (node.isMapping() || node.isSequence()) ? Optional.empty() : node.text();
		if (text.isEmpty() || !text.get().startsWith(REFERENCE_PREFIX)) {
			return new Field<>(type, range, type.read(node, range), Optional.empty());
		}
		String name = text.get().substring(REFERENCE_PREFIX.length());
		return new Field<>(type, range, Optional.empty(), scope.refer(name, node, type, range));
	}

	/**
	 * Reads a field that must be present.
	 * @param <T> type of the value
	 * @param node the place in the template
	 * @param type type of the value
	 * @param range allowed range at this place
	 * @param scope parameters of the template
	 * @return the field
	 */
	static <T> Field<T> readRequired(YamlNode node, ParameterType<T> type, Optional<Range> range,
			ParameterScope scope) {
		if (!node.present()) {
			node.problem("nothing", type.allowed(range) + ", or a parameter");
		}
		return read(node, type, range, scope);
	}

	/**
	 * Finds the value for one service.
	 * @param values values of the parameters
	 * @return the value, or empty if the place is empty or the value is missing or wrong
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
				.ifPresent((node) -> node.problem(node.describe(),
						this.type.allowed(this.range) + " where the template uses it"));
			return Optional.empty();
		}
		return Optional.of(this.type.cast(value.value()));
	}

}
