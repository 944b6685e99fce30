package io.lavenderroad.node;

import io.lavenderroad.core.kernel.ExtensionPoint;
import io.lavenderroad.node.http.HeaderFields;
import io.lavenderroad.node.http.OutgoingResponse;
import io.vavr.control.Either;

/**
 * How callers and backend servers state the terms of a call over HTTP: which header
 * fields carry them, and which status codes and fields an answer has. A dialect
 * translates and decides nothing.
 */
public interface CallDialect {

	/**
	 * Where plug-ins register dialects.
	 */
	ExtensionPoint<CallDialect> POINT = new ExtensionPoint<>("call dialect", CallDialect.class);

	/**
	 * Reads what a caller states.
	 * @param headers header fields of the request
	 * @return the terms, or a short sentence on a field that is malformed
	 */
	Either<String, CallTerms> terms(HeaderFields headers);

	/**
	 * Tells whether callers can state idempotency keys. Without them nodes keep no
	 * records of keys and open no connections to each other for them.
	 * @return true if {@link #terms} may return a key
	 */
	boolean carriesKeys();

	/**
	 * Tells whether a field is passed on beyond a node, besides the fields of one
	 * connection, which never are.
	 * @param name name of the field in lower case
	 * @return true to pass it on
	 */
	boolean passesOn(String name);

	/**
	 * Adds the fields that a backend server expects.
	 * @param passed fields of the caller that are passed on
	 * @param terms what the backend server is told
	 * @return the fields of the request
	 */
	HeaderFields backendFields(HeaderFields passed, BackendTerms terms);

	/**
	 * Tells whether an answer of a backend server states that it has not run the request.
	 * @param status status code
	 * @param headers fields of the answer
	 * @return true if the request was not run
	 */
	boolean isNotRun(int status, HeaderFields headers);

	/**
	 * Tells whether an answer belongs to a request.
	 * @param request fields of the request
	 * @param answer fields of the answer
	 * @return false if the answer names another request
	 */
	boolean belongs(HeaderFields request, HeaderFields answer);

	/**
	 * Tells whether an answer whose body ends with its connection counts as whole.
	 * @return true if it does
	 */
	boolean acceptsUnframedBodies();

	/**
	 * Writes the answer to a caller.
	 * @param answer the final outcome
	 * @return status, fields and body
	 */
	OutgoingResponse response(FinalAnswer answer);

}
