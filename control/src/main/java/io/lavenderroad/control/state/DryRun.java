package io.lavenderroad.control.state;

import java.util.List;

import io.lavenderroad.model.rendering.Difference;

/**
 * Effect that a change would have if it were applied now.
 *
 * @param baseVersion active version
 * @param difference difference from the active version
 * @param notes notes for the operator, such as a withdrawn version that the documents
 * still request
 */
public record DryRun(long baseVersion, Difference difference, List<String> notes) {

	public DryRun {
		notes = List.copyOf(notes);
	}

}
