package io.lavenderroad.model;

import java.util.Objects;

/**
 * One announced backend server.
 *
 * @param nodeId id of the node on the VM of the backend server
 * @param incarnation start time of the node process, milliseconds since the epoch, or
 * more if an earlier process of the node had a larger one
 * @param sequence number of this announcement within the incarnation
 * @param state state of the backend server
 * @param service service that it serves
 * @param version version of the backend server
 * @param region region of the VM
 * @param failureDomain failure domain of the VM
 * @param frameAddress {@code ip:port} where the node accepts frames
 * @param slots requests that the backend server runs at the same time
 * @param capacity relative speed of one slot, 100 for the usual VM
 * @param attachedTo id of the process that the node is attached to
 */
public record Endpoint(String nodeId, long incarnation, long sequence, EndpointState state, String service,
		String version, String region, String failureDomain, String frameAddress, int slots, int capacity,
		String attachedTo) {

	/**
	 * Maximum number of slots of a backend server.
	 */
	public static final int MAXIMUM_SLOTS = 65_535;

	private static final int MAXIMUM_PORT = 65_535;

	public Endpoint {
		Objects.requireNonNull(nodeId, "nodeId");
		Objects.requireNonNull(state, "state");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(version, "version");
		Objects.requireNonNull(region, "region");
		Objects.requireNonNull(failureDomain, "failureDomain");
		Objects.requireNonNull(frameAddress, "frameAddress");
		Objects.requireNonNull(attachedTo, "attachedTo");
	}

	/**
	 * Returns whether a backend server can have these values.
	 * @return false if a number is out of range or the address has no port
	 */
	public boolean isValid() {
		return this.slots >= 0 && this.slots <= MAXIMUM_SLOTS && this.capacity > 0 && hasPort(this.frameAddress);
	}

	private static boolean hasPort(String address) {
		int colon = address.lastIndexOf(':');
		try {
			int port = Integer.parseInt(address.substring(colon + 1));
			return colon > 0 && port > 0 && port <= MAXIMUM_PORT;
		}
		catch (NumberFormatException ex) {
			return false;
		}
	}

	/**
	 * Returns whether this announcement supersedes another one of the same node: the
	 * larger pair of incarnation and sequence wins, and {@code EXPIRED} wins over another
	 * state of the same pair.
	 * @param other the latest known announcement
	 * @return true if this one is newer
	 */
	public boolean replaces(Endpoint other) {
		if (this.incarnation != other.incarnation) {
			return this.incarnation > other.incarnation;
		}
		if (this.sequence != other.sequence) {
			return this.sequence > other.sequence;
		}
		return this.state == EndpointState.EXPIRED && other.state != EndpointState.EXPIRED;
	}

	/**
	 * Returns a copy of this announcement with another state.
	 * @param newState the state
	 * @return the copy
	 */
	public Endpoint withState(EndpointState newState) {
		return new Endpoint(this.nodeId, this.incarnation, this.sequence, newState, this.service, this.version,
				this.region, this.failureDomain, this.frameAddress, this.slots, this.capacity, this.attachedTo);
	}

	/**
	 * Returns a copy of this announcement for another local backend server of the same
	 * node.
	 * @param newService service that it serves
	 * @param newVersion its version
	 * @param newSlots requests that it runs at the same time
	 * @return the copy
	 */
	public Endpoint withBackend(String newService, String newVersion, int newSlots) {
		return new Endpoint(this.nodeId, this.incarnation, this.sequence, this.state, newService, newVersion,
				this.region, this.failureDomain, this.frameAddress, newSlots, this.capacity, this.attachedTo);
	}

	/**
	 * Returns a copy of this announcement with another incarnation.
	 * @param newIncarnation the incarnation
	 * @return the copy
	 */
	public Endpoint withIncarnation(long newIncarnation) {
		return new Endpoint(this.nodeId, newIncarnation, this.sequence, this.state, this.service, this.version,
				this.region, this.failureDomain, this.frameAddress, this.slots, this.capacity, this.attachedTo);
	}

	/**
	 * Returns the next announcement of the same node.
	 * @param newState the state
	 * @param newAttachedTo id of the process that the node is attached to now
	 * @return the copy with the next sequence
	 */
	public Endpoint next(EndpointState newState, String newAttachedTo) {
		return new Endpoint(this.nodeId, this.incarnation, this.sequence + 1, newState, this.service, this.version,
				this.region, this.failureDomain, this.frameAddress, this.slots, this.capacity, newAttachedTo);
	}

}
