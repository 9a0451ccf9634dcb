/**
 * Specifications of test sites, and the processes of a running site.
 */
package org.anvillatch.testbed.site;
