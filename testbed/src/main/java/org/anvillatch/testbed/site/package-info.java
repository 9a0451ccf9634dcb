/**
 * Sites of the two firms, and the processes that make them up.
 */
package org.anvillatch.testbed.site;
