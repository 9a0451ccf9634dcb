/**
 * Messages between hosts: MessagePack in frames over TCP.
 */
package org.anvillatch.node.peer;
