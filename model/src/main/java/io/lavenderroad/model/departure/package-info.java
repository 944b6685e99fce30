/**
 * Departures of backend servers: which starts have left their VM, and the messages by
 * which nodes keep them in the control group.
 */
package io.lavenderroad.model.departure;
