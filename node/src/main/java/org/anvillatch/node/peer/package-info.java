/**
 * Framed TCP with MessagePack between hosts.
 */
package org.anvillatch.node.peer;
