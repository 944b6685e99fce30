package io.lavenderroad.distribution;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;

import io.lavenderroad.model.ConfigurationDelta;
import io.lavenderroad.model.MeshConfiguration;

/**
 * The version in force. Each candidate is built and checked as a whole before one
 * reference write puts it in force, and its number never falls. The lock belongs to the
 * writers, readers take none.
 */
final class ActiveConfiguration {

	private final ReentrantLock lock = new ReentrantLock();

	private final Function<MeshConfiguration, List<String>> validator;

	private final Memory memory;

	private volatile Held held = new Held(MeshConfiguration.EMPTY, false);

	/**
	 * Creates it without a version.
	 * @param validator lists what is wrong with a candidate, empty if nothing
	 * @param memory stores a version before it comes in force
	 */
	ActiveConfiguration(Function<MeshConfiguration, List<String>> validator, Memory memory) {
		this.validator = validator;
		this.memory = memory;
	}

	MeshConfiguration current() {
		return this.held.configuration();
	}

	/**
	 * Tells whether the version in force holds all services of the mesh.
	 * @return true for relays and control members
	 */
	boolean everything() {
		return this.held.everything();
	}

	/**
	 * Starts with a version that this process had in force before it restarted.
	 * @param configuration the version
	 * @param everything whether it holds all services
	 */
	void restore(MeshConfiguration configuration, boolean everything) {
		this.held = new Held(configuration, everything);
	}

	/**
	 * Offers a whole slice.
	 * @param candidate the slice
	 * @param digest digest as stated by the sender
	 * @param everything whether it holds all services
	 * @param requested whether this process asked for the whole slice of its version
	 * @return what became of it
	 */
	Outcome offer(MeshConfiguration candidate, String digest, boolean everything, boolean requested) {
		this.lock.lock();
		try {
			Held now = this.held;
			boolean sameVersion = candidate.version() == now.configuration().version();
			boolean wider = sameVersion && everything && !now.everything();
			boolean repaired = sameVersion && requested && everything == now.everything();
			if (candidate.version() <= now.configuration().version() && !wider && !repaired) {
				return Outcome.of(Result.IGNORED);
			}
			if (!candidate.digest().equals(digest)) {
				return Outcome.of(Result.DIGEST_MISMATCH);
			}
			return putInForce(new Held(candidate, everything));
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Offers a delta.
	 * @param delta the delta
	 * @return what became of it
	 */
	Outcome offer(ConfigurationDelta delta) {
		this.lock.lock();
		try {
			Held now = this.held;
			if (delta.toVersion() <= now.configuration().version()) {
				return Outcome.of(Result.IGNORED);
			}
			if (delta.fromVersion() != now.configuration().version()) {
				return Outcome.of(Result.OTHER_BASE);
			}
			Optional<MeshConfiguration> next = now.configuration().apply(delta);
			if (next.isEmpty()) {
				return Outcome.of(Result.DIGEST_MISMATCH);
			}
			return putInForce(new Held(next.get(), now.everything()));
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Offers a version that changes nothing in the slice.
	 * @param fromVersion version that the sender believes to be in force
	 * @param toVersion the new version
	 * @return what became of it
	 */
	Outcome offerAdvance(long fromVersion, long toVersion) {
		this.lock.lock();
		try {
			Held now = this.held;
			if (toVersion <= now.configuration().version()) {
				return Outcome.of(Result.IGNORED);
			}
			if (fromVersion != now.configuration().version()) {
				return Outcome.of(Result.OTHER_BASE);
			}
			return putInForce(new Held(now.configuration().next(toVersion, List.of(), List.of()), now.everything()));
		}
		finally {
			this.lock.unlock();
		}
	}

	private Outcome putInForce(Held next) {
		List<String> problems = this.validator.apply(next.configuration());
		if (!problems.isEmpty()) {
			return new Outcome(Result.REJECTED, String.join("; ", problems));
		}
		Optional<String> failure = this.memory.store(next.configuration(), next.everything());
		if (failure.isPresent()) {
			return new Outcome(Result.REJECTED, failure.get());
		}
		this.held = next;
		return Outcome.of(Result.IN_FORCE);
	}

	/**
	 * What became of a candidate.
	 */
	enum Result {

		/**
		 * It is in force.
		 */
		IN_FORCE,

		/**
		 * It is not newer than the version in force.
		 */
		IGNORED,

		/**
		 * It starts at another version than the one in force.
		 */
		OTHER_BASE,

		/**
		 * Its services are not those that the sender has.
		 */
		DIGEST_MISMATCH,

		/**
		 * It is whole but wrong.
		 */
		REJECTED

	}

	/**
	 * Stores versions for the next start.
	 */
	@FunctionalInterface
	interface Memory {

		/**
		 * Stores nothing.
		 */
		Memory NONE = (configuration, everything) -> Optional.empty();

		/**
		 * Stores a version durably.
		 * @param configuration the version
		 * @param everything whether it holds all services
		 * @return why the version must not come in force, or empty
		 */
		Optional<String> store(MeshConfiguration configuration, boolean everything);

	}

	/**
	 * Result with the reason of a rejection.
	 *
	 * @param result the result
	 * @param reason why it was rejected, else empty
	 */
	record Outcome(Result result, String reason) {

		static Outcome of(Result result) {
			return new Outcome(result, "");
		}

	}

	private record Held(MeshConfiguration configuration, boolean everything) {
	}

}
