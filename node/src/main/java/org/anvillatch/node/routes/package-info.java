/**
 * Routes of requests that are forwarded unchanged: applying new versions and distributing them between hosts.
 */
package org.anvillatch.node.routes;
