/**
 * The decision log: one structured log line for each decision.
 */
package org.anvillatch.node.decisionlog;
