package io.lavenderroad.control.state;

import java.util.List;

import io.lavenderroad.model.rendering.Difference;

/**
 * What a change would do if it were applied now.
 *
 * @param baseVersion version in force
 * @param difference difference to the version in force
 * @param notes advice for the operator, such as a withdrawn version that the documents
 * still name
 */
public record DryRun(long baseVersion, Difference difference, List<String> notes) {

	public DryRun {
		notes = List.copyOf(notes);
	}

}
