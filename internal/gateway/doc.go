// Package gateway runs an instance on a platform whose backend servers register themselves in its store.
//
// The tasks of an instance are: one feed per kind of objects in the store, the board that publishes what they learned,
// the director that places requests on backend servers, one pool per backend server, one task per connection of a
// caller and one per request. Each owns its sockets and its state; they talk by messages. Decisions are made in
// internal/decide, lifecycles are in charts/.
//
// The package promises that a refusal as not run is true, that a request that is not idempotent runs at most once, and
// that a caller gets a whole answer of its own request or none. It knows no names of a platform: those are behind the
// interfaces Dialect, Schema and Store.
package gateway
