/**
 * MessagePack binding of the model.
 */
package io.lavenderroad.model.binding;
