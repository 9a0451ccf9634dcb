/**
 * Sends, receives and answers membership messages.
 */
package org.anvillatch.node.membership;
