/**
 * Listeners whose connections are bounded in number, bytes, header fields and time.
 */
package org.anvillatch.node.listener;
