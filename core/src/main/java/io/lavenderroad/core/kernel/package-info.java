/**
 * Registry of extensions and the interface of plug-ins that register them.
 */
package io.lavenderroad.core.kernel;
