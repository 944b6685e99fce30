/**
 * Mesh configuration, templates, rendering and binding.
 */
package io.lavenderroad.model;
