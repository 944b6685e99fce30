package io.lavenderroad.distribution;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;

import io.lavenderroad.model.ConfigurationDelta;
import io.lavenderroad.model.MeshConfiguration;

/**
 * The active version. Each candidate is built and checked as a whole before a single
 * reference write activates it, and the version number never decreases. The lock guards
 * writes; readers take none.
 */
final class ActiveConfiguration {

	private final ReentrantLock lock = new ReentrantLock();

	private final Function<MeshConfiguration, List<String>> validator;

	private final VersionStore versionStore;

	private volatile ActiveVersion active = new ActiveVersion(MeshConfiguration.EMPTY, false);

	/**
	 * Creates an active configuration without a version.
	 * @param validator returns the problems of a candidate, empty if it is valid
	 * @param versionStore stores a version before it becomes active
	 */
	ActiveConfiguration(Function<MeshConfiguration, List<String>> validator, VersionStore versionStore) {
		this.validator = validator;
		this.versionStore = versionStore;
	}

	MeshConfiguration current() {
		return this.active.configuration();
	}

	/**
	 * Returns whether the active version contains all services of the mesh.
	 * @return true for relays and control members
	 */
	boolean everything() {
		return this.active.everything();
	}

	/**
	 * Restores the version that was active before this process restarted.
	 * @param configuration the version
	 * @param everything whether it contains all services
	 */
	void restore(MeshConfiguration configuration, boolean everything) {
		this.active = new ActiveVersion(configuration, everything);
	}

	/**
	 * Offers a whole slice. A slice of the active version replaces it only if it contains
	 * all services and the active one does not, or if it was requested.
	 * @param candidate the slice
	 * @param digest digest as stated by the sender
	 * @param everything whether it contains all services
	 * @param requested whether this process requested the whole slice of its version
	 * @return the outcome
	 */
	Outcome offer(MeshConfiguration candidate, String digest, boolean everything, boolean requested) {
		this.lock.lock();
		try {
			ActiveVersion present = this.active;
			boolean sameVersion = candidate.version() == present.configuration().version();
			boolean wider = sameVersion && everything && !present.everything();
			boolean repaired = sameVersion && requested && everything == present.everything();
			if (candidate.version() <= present.configuration().version() && !wider && !repaired) {
				return Outcome.of(Result.IGNORED);
			}
			if (!candidate.digest().equals(digest)) {
				return Outcome.of(Result.DIGEST_MISMATCH);
			}
			return activate(new ActiveVersion(candidate, everything));
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Offers a delta.
	 * @param delta the delta
	 * @return the outcome
	 */
	Outcome offer(ConfigurationDelta delta) {
		this.lock.lock();
		try {
			ActiveVersion present = this.active;
			if (delta.toVersion() <= present.configuration().version()) {
				return Outcome.of(Result.IGNORED);
			}
			if (delta.fromVersion() != present.configuration().version()) {
				return Outcome.of(Result.BASE_MISMATCH);
			}
			Optional<MeshConfiguration> next = present.configuration().apply(delta);
			if (next.isEmpty()) {
				return Outcome.of(Result.DIGEST_MISMATCH);
			}
			return activate(new ActiveVersion(next.get(), present.everything()));
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Offers a version that changes nothing in the slice.
	 * @param fromVersion version that the sender assumes to be active
	 * @param toVersion the new version
	 * @return the outcome
	 */
	Outcome offerAdvance(long fromVersion, long toVersion) {
		this.lock.lock();
		try {
			ActiveVersion present = this.active;
			if (toVersion <= present.configuration().version()) {
				return Outcome.of(Result.IGNORED);
			}
			if (fromVersion != present.configuration().version()) {
				return Outcome.of(Result.BASE_MISMATCH);
			}
			return activate(new ActiveVersion(present.configuration().next(toVersion, List.of(), List.of()),
					present.everything()));
		}
		finally {
			this.lock.unlock();
		}
	}

	private Outcome activate(ActiveVersion next) {
		List<String> problems = this.validator.apply(next.configuration());
		if (!problems.isEmpty()) {
			return new Outcome(Result.REJECTED, String.join("; ", problems));
		}
		Optional<String> failure = this.versionStore.store(next.configuration(), next.everything());
		if (failure.isPresent()) {
			return new Outcome(Result.REJECTED, failure.get());
		}
		this.active = next;
		return Outcome.of(Result.ACTIVATED);
	}

	/**
	 * Result of offering a candidate.
	 */
	enum Result {

		/**
		 * The candidate is active.
		 */
		ACTIVATED,

		/**
		 * The candidate is not newer than the active version.
		 */
		IGNORED,

		/**
		 * The update is based on another version than the active one.
		 */
		BASE_MISMATCH,

		/**
		 * The services differ from those of the sender.
		 */
		DIGEST_MISMATCH,

		/**
		 * The candidate is complete but invalid.
		 */
		REJECTED

	}

	/**
	 * Stores versions for restarts.
	 */
	@FunctionalInterface
	interface VersionStore {

		/**
		 * Stores nothing.
		 */
		VersionStore NONE = (configuration, everything) -> Optional.empty();

		/**
		 * Stores a version durably.
		 * @param configuration the version
		 * @param everything whether it contains all services
		 * @return why the version must not become active, or empty
		 */
		Optional<String> store(MeshConfiguration configuration, boolean everything);

	}

	/**
	 * Result with the reason of a rejection.
	 *
	 * @param result the result
	 * @param reason why the candidate was rejected, else empty
	 */
	record Outcome(Result result, String reason) {

		static Outcome of(Result result) {
			return new Outcome(result, "");
		}

	}

	private record ActiveVersion(MeshConfiguration configuration, boolean everything) {
	}

}
