// Package gateway runs an instance on a platform whose backend servers register themselves in its store.
//
// The tasks of an instance are: one feed per kind of object in the store, the board that merges what the feeds read and
// publishes snapshots, the director that places requests on backend servers, one connection pool per backend server, one
// task per caller connection and one per request. Each task owns its sockets and its state; tasks communicate by
// messages. Decisions are made in internal/decide, lifecycles are defined in charts/.
//
// The package guarantees that a request refused as not run did not run, that a request that is not idempotent runs at
// most once, and that a caller receives the complete answer to its own request or none. It is independent of the
// platform's naming, which is hidden behind the interfaces Dialect, Schema and Store.
package gateway
