/**
 * Reads, distributes and changes the configuration.
 */
package org.anvillatch.node.configuration;
