/**
 * Accounting of the memory that requests and answers hold, and limits on connections.
 */
package org.anvillatch.node.memory;
