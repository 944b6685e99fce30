/**
 * Reading of JSON text from other processes.
 */
package io.lavenderroad.core.json;
