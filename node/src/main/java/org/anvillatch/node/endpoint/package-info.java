/**
 * HTTP towards the endpoint of this host.
 */
package org.anvillatch.node.endpoint;
