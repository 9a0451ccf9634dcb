/**
 * The node: the process that runs on every endpoint's host.
 */
package org.anvillatch.node;
