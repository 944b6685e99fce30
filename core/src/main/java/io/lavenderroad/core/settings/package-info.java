/**
 * Validating reader of YAML documents that reports problems with their positions.
 */
package io.lavenderroad.core.settings;
