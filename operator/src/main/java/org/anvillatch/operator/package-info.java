/**
 * The operators' command line.
 */
package org.anvillatch.operator;
