/**
 * The operators' command line tool.
 */
package org.anvillatch.operator;
