package io.lavenderroad.control.raft;

/**
 * Timeouts and limits of a control member. All members of a group use the same values.
 */
public final class MemberOptions {

	private final long heartbeatMillis;

	private final long electionTimeoutMillis;

	private final long proposalTimeoutMillis;

	private final long catchUpTimeoutMillis;

	private final int batchBytes;

	private final int maximumCommandBytes;

	private final int snapshotChunkBytes;

	private final long snapshotEveryEntries;

	private final long snapshotEveryBytes;

	private final long retainedEntries;

	private final int targetVoters;

	private MemberOptions(Builder builder) {
		this.heartbeatMillis = builder.heartbeatMillis;
		this.electionTimeoutMillis = builder.electionTimeoutMillis;
		this.proposalTimeoutMillis = builder.proposalTimeoutMillis;
		this.catchUpTimeoutMillis = builder.catchUpTimeoutMillis;
		this.batchBytes = builder.batchBytes;
		this.maximumCommandBytes = builder.maximumCommandBytes;
		this.snapshotChunkBytes = builder.snapshotChunkBytes;
		this.snapshotEveryEntries = builder.snapshotEveryEntries;
		this.snapshotEveryBytes = builder.snapshotEveryBytes;
		this.retainedEntries = builder.retainedEntries;
		this.targetVoters = builder.targetVoters;
	}

	/**
	 * Creates a builder with the default values.
	 * @return the builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Returns the heartbeat interval of a leader.
	 * @return milliseconds
	 */
	public long heartbeatMillis() {
		return this.heartbeatMillis;
	}

	/**
	 * Returns the minimum election timeout. Each member adds a random time of up to the
	 * same length. A leader steps down when no quorum has responded for this time.
	 * @return milliseconds
	 */
	public long electionTimeoutMillis() {
		return this.electionTimeoutMillis;
	}

	/**
	 * Returns the target number of voters. Once a group has that many, a joining process
	 * replaces an unreachable voter, if there is one.
	 * @return count
	 */
	public int targetVoters() {
		return this.targetVoters;
	}

	/**
	 * Returns the timeout of proposals and leadership confirmations.
	 * @return milliseconds
	 */
	public long proposalTimeoutMillis() {
		return this.proposalTimeoutMillis;
	}

	/**
	 * Returns how long a leader waits for an added member to catch up before it abandons
	 * the change.
	 * @return milliseconds
	 */
	public long catchUpTimeoutMillis() {
		return this.catchUpTimeoutMillis;
	}

	/**
	 * Returns the size limit of a batch of entries that is written to the disk or sent to
	 * a peer.
	 * @return bytes
	 */
	public int batchBytes() {
		return this.batchBytes;
	}

	/**
	 * Returns the maximum size of a command. A command and a batch together must fit in a
	 * frame.
	 * @return bytes
	 */
	public int maximumCommandBytes() {
		return this.maximumCommandBytes;
	}

	/**
	 * Returns the size of the chunks in which a snapshot is sent.
	 * @return bytes
	 */
	public int snapshotChunkBytes() {
		return this.snapshotChunkBytes;
	}

	/**
	 * Returns the number of applied entries after which the next snapshot is written.
	 * @return count
	 */
	public long snapshotEveryEntries() {
		return this.snapshotEveryEntries;
	}

	/**
	 * Returns the growth of the log after which the next snapshot is written.
	 * @return bytes
	 */
	public long snapshotEveryBytes() {
		return this.snapshotEveryBytes;
	}

	/**
	 * Returns how many entries covered by a snapshot stay in the log for followers that
	 * lag slightly behind.
	 * @return count
	 */
	public long retainedEntries() {
		return this.retainedEntries;
	}

	/**
	 * Builds {@link MemberOptions}.
	 */
	public static final class Builder {

		private long heartbeatMillis = 150;

		// Five heartbeats, so that a single slow sync on a follower does not start an
		// election.
		private long electionTimeoutMillis = 750;

		private long proposalTimeoutMillis = 5_000;

		private long catchUpTimeoutMillis = 60_000;

		private int batchBytes = 1024 * 1024;

		private int maximumCommandBytes = 4 * 1024 * 1024;

		private int snapshotChunkBytes = 256 * 1024;

		private long snapshotEveryEntries = 10_000;

		private long snapshotEveryBytes = 16L * 1024 * 1024;

		private long retainedEntries = 1_000;

		private int targetVoters = 7;

		private Builder() {
		}

		/**
		 * Sets the heartbeat interval.
		 * @param millis the interval
		 * @return this builder
		 */
		public Builder heartbeatMillis(long millis) {
			this.heartbeatMillis = millis;
			return this;
		}

		/**
		 * Sets the minimum election timeout.
		 * @param millis the timeout
		 * @return this builder
		 */
		public Builder electionTimeoutMillis(long millis) {
			this.electionTimeoutMillis = millis;
			return this;
		}

		/**
		 * Sets the timeout of proposals and leadership confirmations.
		 * @param millis the timeout
		 * @return this builder
		 */
		public Builder proposalTimeoutMillis(long millis) {
			this.proposalTimeoutMillis = millis;
			return this;
		}

		/**
		 * Sets how long a leader waits for an added member to catch up.
		 * @param millis the limit
		 * @return this builder
		 */
		public Builder catchUpTimeoutMillis(long millis) {
			this.catchUpTimeoutMillis = millis;
			return this;
		}

		/**
		 * Sets the size limit of a batch.
		 * @param bytes the limit
		 * @return this builder
		 */
		public Builder batchBytes(int bytes) {
			this.batchBytes = bytes;
			return this;
		}

		/**
		 * Sets the maximum size of a command.
		 * @param bytes the limit
		 * @return this builder
		 */
		public Builder maximumCommandBytes(int bytes) {
			this.maximumCommandBytes = bytes;
			return this;
		}

		/**
		 * Sets the size of the chunks in which a snapshot is sent.
		 * @param bytes the size
		 * @return this builder
		 */
		public Builder snapshotChunkBytes(int bytes) {
			this.snapshotChunkBytes = bytes;
			return this;
		}

		/**
		 * Sets the number of applied entries after which the next snapshot is written.
		 * @param count the count
		 * @return this builder
		 */
		public Builder snapshotEveryEntries(long count) {
			this.snapshotEveryEntries = count;
			return this;
		}

		/**
		 * Sets the growth of the log after which the next snapshot is written.
		 * @param bytes the size
		 * @return this builder
		 */
		public Builder snapshotEveryBytes(long bytes) {
			this.snapshotEveryBytes = bytes;
			return this;
		}

		/**
		 * Sets how many entries covered by a snapshot stay in the log.
		 * @param count the count
		 * @return this builder
		 */
		public Builder retainedEntries(long count) {
			this.retainedEntries = count;
			return this;
		}

		/**
		 * Sets the target number of voters.
		 * @param count the count
		 * @return this builder
		 */
		public Builder targetVoters(int count) {
			this.targetVoters = count;
			return this;
		}

		/**
		 * Creates the options.
		 * @return the options
		 */
		public MemberOptions build() {
			return new MemberOptions(this);
		}

	}

}
