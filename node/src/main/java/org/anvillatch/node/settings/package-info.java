/**
 * Flags and environment variables of the node.
 */
package org.anvillatch.node.settings;
