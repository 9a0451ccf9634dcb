/**
 * The operators' query and command language: parses the text of a script into typed statements or findings.
 */
package org.anvillatch.language;
