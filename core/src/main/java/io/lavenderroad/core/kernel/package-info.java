/**
 * Registry of extensions and the plug-ins that fill it.
 */
package io.lavenderroad.core.kernel;
