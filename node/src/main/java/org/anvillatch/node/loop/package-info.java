/**
 * Decision loop, which serializes all access to the decision state of this host.
 */
package org.anvillatch.node.loop;
