package io.lavenderroad.control.log;

/**
 * Kind of the payload of a log entry. The ordinal is the code on disk and on the wire, so
 * the order of the constants must not change.
 */
public enum EntryKind {

	/**
	 * Empty payload: the first entry of a leader, whose commit also commits the entries
	 * of earlier terms.
	 */
	NO_OP,

	/**
	 * A command of the state machine.
	 */
	COMMAND,

	/**
	 * The member set that is active from this entry on.
	 */
	MEMBERS;

	private static final EntryKind[] KINDS = values();

	/**
	 * Returns the code of this kind.
	 * @return the code on disk and on the wire
	 */
	public int code() {
		return ordinal();
	}

	/**
	 * Returns the kind of a code.
	 * @param code the code
	 * @return the kind
	 * @throws IllegalArgumentException if the code is unknown
	 */
	public static EntryKind of(int code) {
		if (code < 0 || code >= KINDS.length) {
			throw new IllegalArgumentException("unknown kind of log entry: " + code);
		}
		return KINDS[code];
	}

}
