// Package once decides which once-only requests may be sent.
//
// A claim is granted only after a conditional update of the partition's head in the object API has recorded it, so at
// most one attempt is granted per digest and window, even while several instances assume that they own the partition.
// charts/claim.toml holds the lifecycle of a claim and charts/partition.toml that of a partition.
//
// Limits: the window is measured on a partition clock that never runs ahead of real time and stops while no instance
// owns the partition, so a claim is kept for at least its window and sometimes longer. The digest depends on the
// settings claims.key and claims.partitions; the object claims/layout guards against a change of either. The partition
// depends on the home regions of the route and of the tenant: after a change of these in a document, earlier claims are
// no longer found, so clients must have stopped resending requests from before the change. If an owner is replaced
// after it wrote a segment and before a head names that segment, the segment stays in the object API.
package once
