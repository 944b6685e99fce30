package io.lavenderroad.model;

/**
 * Key by which observations are added up.
 *
 * @param service name of the service
 * @param route name of the route
 * @param version backend server version
 */
public record ObservationKey(String service, String route, String version) implements Comparable<ObservationKey> {

	@Override
	public int compareTo(ObservationKey other) {
		int order = this.service.compareTo(other.service);
		if (order == 0) {
			order = this.route.compareTo(other.route);
		}
		return (order != 0) ? order : this.version.compareTo(other.version);
	}

}
