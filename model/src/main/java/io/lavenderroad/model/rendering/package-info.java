/**
 * Templates, parameters documents and their rendering to services.
 */
package io.lavenderroad.model.rendering;
