package io.lavenderroad.distribution;

import java.util.Collection;

/**
 * Digest of service names.
 */
final class ServiceNames {

	private ServiceNames() {
	}

	/**
	 * Returns a digest that does not depend on the order of the names.
	 * @param names the names
	 * @return the digest
	 */
	static long digest(Collection<String> names) {
		long sum = names.size();
		for (String name : names) {
			long value = 0;
			for (int index = 0; index < name.length(); index++) {
				value = EndpointRegistry.mix(value * 31 + name.charAt(index));
			}
			sum += value;
		}
		return sum;
	}

}
