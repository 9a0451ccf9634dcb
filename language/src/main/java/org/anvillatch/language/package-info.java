/**
 * The operators' query and command language: text in, typed statements or findings out.
 */
package org.anvillatch.language;
