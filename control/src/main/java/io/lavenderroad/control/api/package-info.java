/**
 * Operators' HTTP API of the control members.
 */
package io.lavenderroad.control.api;
