package io.lavenderroad.control.state;

/**
 * Why the present traffic of a service does not allow what the documents ask for.
 *
 * @param service name of the service
 * @param key key of the service in the parameters document
 * @param found what the documents ask for
 * @param allowed what is allowed
 */
public record PlanProblem(String service, String key, String found, String allowed) {

	@Override
	public String toString() {
		return "service " + this.service + ", key " + this.key + ": found " + this.found + "; allowed: " + this.allowed;
	}

}
