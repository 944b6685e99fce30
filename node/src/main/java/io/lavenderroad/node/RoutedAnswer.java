package io.lavenderroad.node;

/**
 * Final outcome of a call.
 *
 * @param answer the outcome
 * @param version backend server version of the last attempt, empty if there was none
 * @param attempts endpoints that were tried
 */
record RoutedAnswer(CallAnswer answer, String version, int attempts) {

	/**
	 * Creates the outcome of a call for which no endpoint was tried.
	 * @param answer the outcome
	 * @return the final outcome
	 */
	static RoutedAnswer untried(CallAnswer answer) {
		return new RoutedAnswer(answer, "", 0);
	}

}
