/**
 * HTTP towards operators.
 */
package org.anvillatch.node.operator;
