package io.lavenderroad.control.state;

/**
 * Reason why a change is not possible in the current state of a service and its traffic.
 *
 * @param service name of the service
 * @param key key of the service in the parameters document
 * @param found what the documents request
 * @param allowed what is allowed
 */
public record PlanProblem(String service, String key, String found, String allowed) {

	@Override
	public String toString() {
		return "service " + this.service + ", key " + this.key + ": found " + this.found + "; allowed: " + this.allowed;
	}

}
