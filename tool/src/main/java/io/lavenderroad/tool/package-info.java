/**
 * The lavenderroad operator tool.
 */
package io.lavenderroad.tool;
