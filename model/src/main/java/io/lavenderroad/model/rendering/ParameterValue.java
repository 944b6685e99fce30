package io.lavenderroad.model.rendering;

import java.util.Optional;

import io.lavenderroad.core.settings.YamlNode;

/**
 * Value of a parameter for one service.
 *
 * @param value the value
 * @param node where a team set the value, or empty if it is the default of the template
 */
record ParameterValue(Object value, Optional<YamlNode> node) {

}
