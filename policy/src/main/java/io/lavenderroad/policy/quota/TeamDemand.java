package io.lavenderroad.policy.quota;

/**
 * What a node reports and requests for one team.
 *
 * @param team name of the team
 * @param wanted tokens for requests that wait now
 * @param expected tokens that the node would like to hold in advance
 * @param held tokens that the node holds and may still use
 * @param returned tokens that the node has given up since its last report
 */
public record TeamDemand(String team, int wanted, int expected, int held, int returned) {

}
