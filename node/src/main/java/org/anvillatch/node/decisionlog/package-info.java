/**
 * The decision log: structured log lines about the decisions of this host.
 */
package org.anvillatch.node.decisionlog;
