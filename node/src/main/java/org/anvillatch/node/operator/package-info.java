/**
 * HTTP interface for operators: commands, questions and metrics.
 */
package org.anvillatch.node.operator;
