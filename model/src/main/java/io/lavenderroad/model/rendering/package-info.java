/**
 * Templates, parameters documents and their rendering to services.
 * <p>
 * A template declares typed parameters and the structure of services. A value in the
 * structure is a literal or refers to a parameter by {@code $name}: <pre>
 * kind: template
 * name: small-shops
 * parameters:
 *   queue-length: { type: integer, minimum: 1, maximum: 200, default: 24 }
 *   query-timeout: { type: duration, default: 1s }
 *   partners: { type: list, default: [] }
 * services:
 *   catalogue:
 *     open-to-callers: true
 *     calls: $partners
 *     current: v1
 *     limits: { queue-length: $queue-length, customer-share: 40%, retry-budget: 10% }
 *     move: { deadline: 45m, thin-evidence: hold, policy: sequential }
 *     routes:
 *       - { name: queries, method: GET, path-prefix: /items, idempotent: true,
 *           timeout: $query-timeout, largest-body-bytes: 4096 }
 * </pre>
 * <p>
 * The types are name, version, integer, duration, share, truth, deadline and list. A
 * deadline is an RFC 3339 time or a duration that counts from the acceptance of the move.
 * <p>
 * The parameters document of a team names the template. {@code values} apply to all its
 * services. A service uses the structure with its own name unless {@code structure} names
 * another one; {@code current}, {@code move} and {@code at-once} have fixed meanings, and
 * every other key is a parameter that the structure uses: <pre>
 * kind: parameters
 * team: mokoena
 * template: small-shops
 * values: { query-timeout: 800ms }
 * services:
 *   catalogue:
 *     current: v1
 *     move: { to: v2, deadline: 2026-12-04T17:00:00+02:00, attempt: 1 }
 *     queue-length: 36
 * </pre>
 */
package io.lavenderroad.model.rendering;
