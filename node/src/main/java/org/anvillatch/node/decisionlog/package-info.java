/**
 * One structured log line for each decision.
 */
package org.anvillatch.node.decisionlog;
