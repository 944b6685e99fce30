/**
 * Clock, verdicts, errors, settings, plug-in kernel and wire protocol.
 */
package io.lavenderroad.core;
