/**
 * Routes of requests that are passed on unread: taking new versions and handing them on between hosts.
 */
package org.anvillatch.node.routes;
