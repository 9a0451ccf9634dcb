/**
 * HTTP interface for callers and for nested calls.
 */
package org.anvillatch.node.caller;
