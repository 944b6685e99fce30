package io.lavenderroad.node;

import java.util.Optional;
import java.util.OptionalLong;

import io.lavenderroad.core.kernel.ExtensionPoint;
import io.lavenderroad.node.http.HeaderFields;
import io.lavenderroad.node.http.OutgoingResponse;
import io.lavenderroad.node.http.ResponseMatch;
import io.vavr.control.Either;

/**
 * HTTP conventions of callers and backend servers: which header fields carry the
 * parameters of a call, and which status codes and fields an answer has. A dialect only
 * translates; it makes no decisions.
 */
public interface CallDialect {

	/**
	 * Extension point at which plug-ins register dialects.
	 */
	ExtensionPoint<CallDialect> POINT = new ExtensionPoint<>("call dialect", CallDialect.class);

	/**
	 * Reads the parameters of a call from the header fields of a request.
	 * @param headers header fields of the request
	 * @return the terms, or a short message on a malformed field
	 */
	Either<String, CallTerms> terms(HeaderFields headers);

	/**
	 * Returns whether callers can state idempotency keys. If not, nodes keep no records
	 * of keys and open no connections to each other for them.
	 * @return true if {@link #terms} may return a key
	 */
	boolean supportsIdempotencyKeys();

	/**
	 * Returns whether a node forwards a field of an answer, and of a request unless
	 * {@link #forwardsRequestField} says otherwise. Hop-by-hop fields are never
	 * forwarded.
	 * @param name name of the field in lower case
	 * @return true to forward it
	 */
	boolean forwards(String name);

	/**
	 * Returns whether a node forwards a field of a request. Fields that carry access keys
	 * are not forwarded if the mesh has teams.
	 * @param name name of the field in lower case
	 * @param teams whether the mesh has teams
	 * @return true to forward it
	 */
	default boolean forwardsRequestField(String name, boolean teams) {
		return forwards(name);
	}

	/**
	 * Adds the fields that a backend server expects.
	 * @param passed forwarded fields of the caller
	 * @param terms call parameters for the backend server
	 * @return the fields of the request
	 */
	HeaderFields backendFields(HeaderFields passed, ForwardedCallTerms terms);

	/**
	 * Returns whether an answer states that its request was not run. If answers name
	 * their requests, the statement counts for the request that it names only.
	 * @param status status code
	 * @param headers fields of the answer
	 * @return true if the answer states it
	 */
	boolean isNotRun(int status, HeaderFields headers);

	/**
	 * Returns whether the answers to a request name it, see {@link #match}.
	 * @param request fields of the request
	 * @return true if each answer of a sound backend server names the request
	 */
	boolean namesRequest(HeaderFields request);

	/**
	 * Reads the load that a backend server states in one of its answers.
	 * @param answer fields of the answer
	 * @return the load, or empty if the answer states none or an impossible one
	 */
	default Optional<ServerLoad> serverLoad(HeaderFields answer) {
		return Optional.empty();
	}

	/**
	 * Reads how much longer a backend server stays cold from one of its answers.
	 * @param answer fields of the answer
	 * @return milliseconds from 0 to one hour, or empty if the answer states none or an
	 * impossible value
	 */
	default OptionalLong coldMillis(HeaderFields answer) {
		return OptionalLong.empty();
	}

	/**
	 * Returns whether an answer belongs to a request.
	 * @param request fields of the request
	 * @param answer fields of the answer
	 * @return what the answer says about its request
	 */
	ResponseMatch match(HeaderFields request, HeaderFields answer);

	/**
	 * Returns whether an answer whose body is delimited by the end of the connection
	 * counts as complete.
	 * @return true if it is accepted as complete
	 */
	boolean acceptsUnframedBodies();

	/**
	 * Builds the response to a caller.
	 * @param answer the final outcome
	 * @return status, fields and body
	 */
	OutgoingResponse response(FinalAnswer answer);

}
