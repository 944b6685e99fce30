package io.lavenderroad.bench.backend;

import java.util.Map;

import io.lavenderroad.core.LavenderroadException;

/**
 * Configurable behaviour of a stub backend server.
 *
 * @param serviceMillis time in milliseconds for which one request holds a slot
 * @param slots maximum number of concurrent requests; further requests queue inside the
 * server
 * @param errorShare share of requests that answer 500, 0 to 1
 * @param truncatedShare share of answers that are cut off within the body, 0 to 1
 * @param coldMillis duration of the cold start after the first request
 * @param coldFactor factor by which requests are slower at the start of the cold start;
 * it falls linearly to 1
 * @param errorPath path prefix of the requests that the error share applies to, empty for
 * all
 * @param overloadMillis additional time in milliseconds for each other request that runs
 * at the same time
 */
public record Behaviour(double serviceMillis, int slots, double errorShare, double truncatedShare, long coldMillis,
		double coldFactor, String errorPath, double overloadMillis) {

	/**
	 * A fast server without faults: 2 ms, 12 slots.
	 */
	public static final Behaviour DEFAULT = new Behaviour(2, 12, 0, 0, 0, 1, "", 0);

	/**
	 * Returns a copy with the named values changed.
	 * @param values texts by name: {@code service-millis}, {@code slots},
	 * {@code error-share}, {@code truncated-share}, {@code cold-millis},
	 * {@code cold-factor}, {@code error-path}, {@code overload-millis}
	 * @return the changed behaviour
	 * @throws LavenderroadException if a name is unknown or a value is not a number
	 */
	public Behaviour with(Map<String, String> values) {
		Behaviour changed = this;
		for (Map.Entry<String, String> entry : values.entrySet()) {
			changed = changed.with(entry.getKey(), entry.getValue());
		}
		return changed;
	}

	private Behaviour with(String name, String value) {
		try {
			return switch (name) {
				case "service-millis" -> new Behaviour(Double.parseDouble(value), this.slots, this.errorShare,
						this.truncatedShare, this.coldMillis, this.coldFactor, this.errorPath, this.overloadMillis);
				case "slots" -> new Behaviour(this.serviceMillis, Integer.parseInt(value), this.errorShare,
						this.truncatedShare, this.coldMillis, this.coldFactor, this.errorPath, this.overloadMillis);
				case "error-share" -> new Behaviour(this.serviceMillis, this.slots, Double.parseDouble(value),
						this.truncatedShare, this.coldMillis, this.coldFactor, this.errorPath, this.overloadMillis);
				case "truncated-share" ->
					new Behaviour(this.serviceMillis, this.slots, this.errorShare, Double.parseDouble(value),
							this.coldMillis, this.coldFactor, this.errorPath, this.overloadMillis);
				case "cold-millis" ->
					new Behaviour(this.serviceMillis, this.slots, this.errorShare, this.truncatedShare,
							Long.parseLong(value), this.coldFactor, this.errorPath, this.overloadMillis);
				case "cold-factor" ->
					new Behaviour(this.serviceMillis, this.slots, this.errorShare, this.truncatedShare, this.coldMillis,
							Double.parseDouble(value), this.errorPath, this.overloadMillis);
				case "error-path" -> new Behaviour(this.serviceMillis, this.slots, this.errorShare, this.truncatedShare,
						this.coldMillis, this.coldFactor, value, this.overloadMillis);
				case "overload-millis" ->
					new Behaviour(this.serviceMillis, this.slots, this.errorShare, this.truncatedShare, this.coldMillis,
							this.coldFactor, this.errorPath, Double.parseDouble(value));
				default -> throw new LavenderroadException("behaviour has no value '" + name + "'");
			};
		}
		catch (NumberFormatException ex) {
			throw new LavenderroadException("behaviour value " + name + " is '" + value + "', not a number", ex);
		}
	}

}
