/**
 * Admission of root requests against the allowances of their teams.
 */
package org.anvillatch.node.team;
