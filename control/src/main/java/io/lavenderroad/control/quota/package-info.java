/**
 * Quotas of teams at the leader of the control group.
 */
package io.lavenderroad.control.quota;
