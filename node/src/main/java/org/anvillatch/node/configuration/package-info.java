/**
 * Reading, spreading and changing the configuration.
 */
package org.anvillatch.node.configuration;
