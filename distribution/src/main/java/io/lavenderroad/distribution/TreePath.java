package io.lavenderroad.distribution;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import io.lavenderroad.distribution.DistributionMessages.Hop;

/**
 * Loop detection by path vector, as in RFC 4271 section 9.1.2: a process never uses a
 * path that contains it.
 */
final class TreePath {

	/**
	 * Maximum length of an accepted path. A tree of 7,800 nodes has depth 3, so a longer
	 * path indicates a fault.
	 */
	static final int MAXIMUM_HOPS = 32;

	private TreePath() {
	}

	static boolean contains(List<Hop> path, String id) {
		return path.stream().anyMatch((hop) -> hop.id().equals(id));
	}

	/**
	 * Returns whether a process may attach below a path.
	 * @param path from the root to the parent
	 * @param id id of the process
	 * @return true if the result has no loop and is not too long
	 */
	static boolean usable(List<Hop> path, String id) {
		return path.size() < MAXIMUM_HOPS && !contains(path, id);
	}

	static List<Hop> extend(List<Hop> path, Hop self) {
		List<Hop> extended = new ArrayList<>(path);
		extended.add(self);
		return List.copyOf(extended);
	}

	/**
	 * Returns the candidates after the loss of the parent.
	 * @param path from the root to the lost parent
	 * @return the ancestors, nearest first, without the lost parent
	 */
	static List<Hop> ancestors(List<Hop> path) {
		if (path.isEmpty()) {
			return List.of();
		}
		List<Hop> ancestors = new ArrayList<>(path.subList(0, path.size() - 1));
		Collections.reverse(ancestors);
		return ancestors;
	}

}
