package io.lavenderroad.model.rendering;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import io.lavenderroad.core.settings.YamlNode;
import io.lavenderroad.model.MoveParameters;
import io.lavenderroad.model.ThinEvidence;

/**
 * Defaults for the moves of a service, as a template declares them.
 *
 * @param deadline when a move must be finished
 * @param thinEvidence what to do if there is not enough evidence, {@code hold} or
 * {@code proceed}
 * @param policy name of the move policy
 */
record MoveStructure(TemplateField<Deadline> deadline, TemplateField<String> thinEvidence,
		TemplateField<String> policy) {

	static final String DEADLINE_KEY = "deadline";

	static final String THIN_EVIDENCE_KEY = "thin-evidence";

	static final String POLICY_KEY = "policy";

	static MoveStructure read(YamlNode node, ParameterScope scope) {
		YamlNode thinEvidenceNode = node.child(THIN_EVIDENCE_KEY);
		MoveStructure move = new MoveStructure(
				TemplateField.read(node.child(DEADLINE_KEY), ParameterType.DEADLINE, Optional.empty(), scope),
				TemplateField.read(thinEvidenceNode, ParameterType.NAME, Optional.empty(), scope),
				TemplateField.read(node.child(POLICY_KEY), ParameterType.NAME, Optional.empty(), scope));
		move.thinEvidence.literal().ifPresent((word) -> parseThinEvidence(word, thinEvidenceNode));
		node.rejectUnknownKeys();
		return move;
	}

	static ThinEvidence parseThinEvidence(String word, YamlNode node) {
		for (ThinEvidence value : ThinEvidence.values()) {
			if (value.name().toLowerCase(Locale.ROOT).equals(word)) {
				return value;
			}
		}
		node.addProblem("'" + word + "'", "hold or proceed");
		return ThinEvidence.HOLD;
	}

	/**
	 * Returns the move that a parameters document requests for a service. Problems are
	 * reported at the nodes.
	 * @param current version that currently serves
	 * @param node the key {@code move} of the service
	 * @param values values of the parameters
	 * @return the request, or empty if no move is requested or it is invalid
	 */
	Optional<MoveRequest> resolve(String current, YamlNode node, Map<String, ParameterValue> values) {
		if (!node.isPresent()) {
			return Optional.empty();
		}
		YamlNode toNode = node.child("to");
		Optional<String> to = readRequired(toNode, ParameterType.VERSION);
		if (to.isPresent() && to.get().equals(current)) {
			toNode.addProblem(toNode.describe(), "a version other than the current one");
		}
		YamlNode deadlineNode = node.child(DEADLINE_KEY);
		Optional<Deadline> deadline = deadlineNode.isPresent()
				? ParameterType.DEADLINE.read(deadlineNode, Optional.empty()) : this.deadline.resolve(values);
		if (deadline.isEmpty() && !deadlineNode.isPresent()) {
			deadlineNode.addProblem("nothing", ParameterType.DEADLINE.allowed(Optional.empty()));
		}
		YamlNode thinEvidenceNode = node.child(THIN_EVIDENCE_KEY);
		String thinEvidenceLabel = valueOrDefault(thinEvidenceNode, this.thinEvidence, values).orElse("hold");
		String policy = valueOrDefault(node.child(POLICY_KEY), this.policy, values)
			.orElse(MoveParameters.DEFAULT_POLICY);
		int attempt = ParameterType.INTEGER.read(node.child("attempt"), Optional.of(new Range(1, 1_000_000))).orElse(1);
		node.rejectUnknownKeys();
		if (to.isEmpty() || deadline.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(new MoveRequest(current, to.get(), attempt, deadline.get(),
				parseThinEvidence(thinEvidenceLabel, thinEvidenceNode), policy));
	}

	private static Optional<String> valueOrDefault(YamlNode node, TemplateField<String> field,
			Map<String, ParameterValue> values) {
		return node.isPresent() ? ParameterType.NAME.read(node, Optional.empty()) : field.resolve(values);
	}

	private static <T> Optional<T> readRequired(YamlNode node, ParameterType<T> type) {
		if (!node.isPresent()) {
			node.addProblem("nothing", type.allowed(Optional.empty()));
		}
		return type.read(node, Optional.empty());
	}

}
