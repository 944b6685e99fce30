package io.lavenderroad.policy.quota;

/**
 * Tokens that are granted to a node for one team.
 *
 * @param team name of the team
 * @param immediate tokens for requests that wait; they expire
 * {@link QuotaTimes#IMMEDIATE_TOKEN_MILLIS} after the request for them was sent
 * @param advance tokens granted in advance; they expire
 * {@link QuotaTimes#ADVANCE_TOKEN_MILLIS} after the request for them was sent
 * @param retryAfterMillis milliseconds until a token is available if fewer tokens than
 * wanted were granted, otherwise 0
 */
public record TeamGrant(String team, int immediate, int advance, int retryAfterMillis) {

}
