package io.lavenderroad.control.raft;

/**
 * Time-outs and limits of a control member. The members of a group share them.
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

	private final int usualVoters;

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
		this.usualVoters = builder.usualVoters;
	}

	/**
	 * Creates a builder with the default values.
	 * @return the builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Returns the interval at which a leader sends to idle members.
	 * @return milliseconds
	 */
	public long heartbeatMillis() {
		return this.heartbeatMillis;
	}

	/**
	 * Returns the shortest silence of the leader before an election. Each member adds a
	 * random time of up to the same length. A leader steps down when a quorum has not
	 * answered for this long.
	 * @return milliseconds
	 */
	public long electionTimeoutMillis() {
		return this.electionTimeoutMillis;
	}

	/**
	 * Returns how many voters a group has when all are well. Processes that ask to join
	 * replace lost voters beyond that number.
	 * @return count
	 */
	public int usualVoters() {
		return this.usualVoters;
	}

	/**
	 * Returns how long a proposal and a read confirmation wait.
	 * @return milliseconds
	 */
	public long proposalTimeoutMillis() {
		return this.proposalTimeoutMillis;
	}

	/**
	 * Returns how long a leader waits for an added member to catch up before it gives the
	 * change up.
	 * @return milliseconds
	 */
	public long catchUpTimeoutMillis() {
		return this.catchUpTimeoutMillis;
	}

	/**
	 * Returns the size of a batch of entries for the disk and for a peer.
	 * @return bytes
	 */
	public int batchBytes() {
		return this.batchBytes;
	}

	/**
	 * Returns the size of the largest command. With a batch it must fit in a frame.
	 * @return bytes
	 */
	public int maximumCommandBytes() {
		return this.maximumCommandBytes;
	}

	/**
	 * Returns the size of the parts of a snapshot on the wire.
	 * @return bytes
	 */
	public int snapshotChunkBytes() {
		return this.snapshotChunkBytes;
	}

	/**
	 * Returns how many applied entries since the last snapshot cause the next one.
	 * @return count
	 */
	public long snapshotEveryEntries() {
		return this.snapshotEveryEntries;
	}

	/**
	 * Returns the size of the log that causes a snapshot.
	 * @return bytes
	 */
	public long snapshotEveryBytes() {
		return this.snapshotEveryBytes;
	}

	/**
	 * Returns how many entries before a snapshot stay in the log for followers that lag a
	 * little.
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

		// Five heartbeats: one slow sync of a follower must not start an election.
		private long electionTimeoutMillis = 750;

		private long proposalTimeoutMillis = 5_000;

		private long catchUpTimeoutMillis = 60_000;

		private int batchBytes = 1024 * 1024;

		private int maximumCommandBytes = 4 * 1024 * 1024;

		private int snapshotChunkBytes = 256 * 1024;

		private long snapshotEveryEntries = 10_000;

		private long snapshotEveryBytes = 16L * 1024 * 1024;

		private long retainedEntries = 1_000;

		private int usualVoters = 7;

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
		 * Sets the shortest election time-out.
		 * @param millis the time-out
		 * @return this builder
		 */
		public Builder electionTimeoutMillis(long millis) {
			this.electionTimeoutMillis = millis;
			return this;
		}

		/**
		 * Sets how long a proposal waits.
		 * @param millis the limit
		 * @return this builder
		 */
		public Builder proposalTimeoutMillis(long millis) {
			this.proposalTimeoutMillis = millis;
			return this;
		}

		/**
		 * Sets how long an added member may take to catch up.
		 * @param millis the limit
		 * @return this builder
		 */
		public Builder catchUpTimeoutMillis(long millis) {
			this.catchUpTimeoutMillis = millis;
			return this;
		}

		/**
		 * Sets the size of a batch.
		 * @param bytes the limit
		 * @return this builder
		 */
		public Builder batchBytes(int bytes) {
			this.batchBytes = bytes;
			return this;
		}

		/**
		 * Sets the size of the largest command.
		 * @param bytes the limit
		 * @return this builder
		 */
		public Builder maximumCommandBytes(int bytes) {
			this.maximumCommandBytes = bytes;
			return this;
		}

		/**
		 * Sets the size of the parts of a snapshot.
		 * @param bytes the size
		 * @return this builder
		 */
		public Builder snapshotChunkBytes(int bytes) {
			this.snapshotChunkBytes = bytes;
			return this;
		}

		/**
		 * Sets how many entries cause a snapshot.
		 * @param count the count
		 * @return this builder
		 */
		public Builder snapshotEveryEntries(long count) {
			this.snapshotEveryEntries = count;
			return this;
		}

		/**
		 * Sets the size of the log that causes a snapshot.
		 * @param bytes the size
		 * @return this builder
		 */
		public Builder snapshotEveryBytes(long bytes) {
			this.snapshotEveryBytes = bytes;
			return this;
		}

		/**
		 * Sets how many entries stay in the log behind a snapshot.
		 * @param count the count
		 * @return this builder
		 */
		public Builder retainedEntries(long count) {
			this.retainedEntries = count;
			return this;
		}

		/**
		 * Sets how many voters a group has when all are well.
		 * @param count the count
		 * @return this builder
		 */
		public Builder usualVoters(int count) {
			this.usualVoters = count;
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
