/**
 * Execution of calls: the sender's routing and the gatekeeper's dispatch.
 */
package org.anvillatch.node.call;
