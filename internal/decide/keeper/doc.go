// Package keeper decides who keeps a shard and what the keeper grants. A shard is the backend servers of one service
// in one availability zone.
//
// Table holds the owners of the shards of a zone. Shard is the keeper's side of the leases: it promises that the slots
// in force of a server never exceed what the server could bear when they were granted, that cold servers get their
// cold allowance in total over all instances, and that it grants nothing without valid authority. Client is the side of
// the instance that holds leases. The package is pure: time is passed in, and it encodes nothing.
//
// Limits: a server whose document entry moves from one shard to another may get grants from both keepers until the
// document is in force at both. A request that outlasts its lease counts only while its instance reports it as busy.
package keeper
