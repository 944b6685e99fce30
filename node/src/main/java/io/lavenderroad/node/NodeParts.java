package io.lavenderroad.node;

import java.util.random.RandomGenerator;

import io.lavenderroad.core.Clock;
import io.lavenderroad.model.Endpoint;

/**
 * What several parts of a node share.
 *
 * @param clock source of time
 * @param random source of randomness, safe for use by many threads
 * @param self announcement of the backend server beside the node
 * @param directory known endpoints
 * @param connections connections to other nodes
 * @param evidence own observations
 * @param withdrawn versions that this node has withdrawn
 * @param calledServices services that the backend server beside the node calls
 * @param requestLog lines of single requests
 */
record NodeParts(Clock clock, RandomGenerator random, Endpoint self, EndpointDirectory directory,
		PeerConnections connections, EvidenceRecorder evidence, WithdrawnVersions withdrawn,
		CalledServices calledServices, RequestLog requestLog) {

}
