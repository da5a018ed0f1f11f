// Package once decides which once-only requests may be sent.
//
// A claim is granted only after a conditional update of the partition's head in the object API has recorded it, so at
// most one attempt is ever granted for a digest within its window, whichever instances take themselves for the owner.
// charts/claim.toml holds the lifecycle of a claim and charts/partition.toml that of a partition.
//
// Limits: the window is counted on a clock of the partition that never runs ahead of time and stands still while no
// instance owns the partition, so claims are kept at least as long as asked and sometimes longer. The keyed digest
// depends on the settings claims.key and claims.partitions, which the object claims/LAYOUT guards. The partition depends
// on the home regions of the route and the tenant: a change of these in a document forgets earlier claims, so resends
// of requests from before the change must have ended. A segment that was written by an owner that was replaced before
// it could name the segment stays in the object API.
package once
