/**
 * Sending and receiving membership messages.
 */
package org.anvillatch.node.membership;
