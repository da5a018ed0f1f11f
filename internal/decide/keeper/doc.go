// Package keeper decides which instance keeps a shard and which slots that keeper grants. A shard is the set of backend
// servers of one service in one availability zone.
//
// Table holds the owners of the shards of one zone. Shard is the keeper's side of the leases. It guarantees that the
// slots in force on a server never exceed the server's capacity at the time of the grant, that the cold allowance of a
// server holds in total over all instances, and that nothing is granted without valid authority. Client is the side of
// an instance that holds leases. The package is pure: time is passed in, and it encodes nothing.
//
// Limits: when a document moves a server from one shard to another, both keepers may grant its slots until the document
// is in force at both. A request that runs longer than its lease is counted only while its instance reports it as busy.
package keeper
