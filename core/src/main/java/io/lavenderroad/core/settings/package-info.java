/**
 * Checked reading of YAML documents with positions.
 */
package io.lavenderroad.core.settings;
