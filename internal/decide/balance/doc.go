// Package balance selects the backend server for each request.
//
// A Fleet tracks the backend servers of one service as seen by one instance: requests in flight, latency, the lifecycle
// state of each server (charts/backend.toml) and the slot leases. It is owned by one task and is deterministic: time and
// randomness are passed in. A Fleet counts only the requests of its own instance; the total over all instances is bounded
// by the leases that package keeper grants.
package balance
