/**
 * Client of the platform's log service.
 */
package org.anvillatch.node.platform;
