/**
 * HTTP towards callers.
 */
package org.anvillatch.node.caller;
