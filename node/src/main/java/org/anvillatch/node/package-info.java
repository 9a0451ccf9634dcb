/**
 * The process that runs on every endpoint host.
 */
package org.anvillatch.node;
