/**
 * Command-line tool for operators of the mesh.
 */
package io.lavenderroad.tool;
