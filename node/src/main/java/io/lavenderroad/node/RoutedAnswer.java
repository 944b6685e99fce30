package io.lavenderroad.node;

/**
 * Final outcome of a call.
 *
 * @param answer the outcome
 * @param version backend server version of the last attempt, empty if there was none
 */
record RoutedAnswer(CallAnswer answer, String version) {

}
