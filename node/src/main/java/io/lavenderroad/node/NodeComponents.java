package io.lavenderroad.node;

import java.util.random.RandomGenerator;

import io.lavenderroad.core.Clock;
import io.lavenderroad.model.Endpoint;

/**
 * Components of a node that several of its classes share.
 *
 * @param clock source of time
 * @param random source of randomness, safe for use by many threads
 * @param self endpoint that the node announces for the local backend server
 * @param directory endpoints of the called services
 * @param connections connections to other nodes
 * @param evidence observations of this node
 * @param withdrawn versions that this node has withdrawn
 * @param calledServices services that the local backend server calls
 * @param requestLog rate-limited log of single requests
 */
record NodeComponents(Clock clock, RandomGenerator random, Endpoint self, EndpointDirectory directory,
		PeerConnections connections, EvidenceRecorder evidence, WithdrawnVersions withdrawn,
		CalledServices calledServices, RequestLog requestLog) {

}
