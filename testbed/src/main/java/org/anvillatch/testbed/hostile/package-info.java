/**
 * Load of hostile callers against a node process of the users' platform.
 */
package org.anvillatch.testbed.hostile;
