/**
 * HTTP API of the control members for operators.
 */
package io.lavenderroad.control.api;
