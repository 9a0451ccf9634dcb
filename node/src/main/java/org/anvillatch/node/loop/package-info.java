/**
 * The single-writer loop that owns all decision state.
 */
package org.anvillatch.node.loop;
