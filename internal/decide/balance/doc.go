// Package balance decides which backend server a request goes to.
//
// A Fleet holds what one instance knows about the backend servers of one service: requests in flight, latency, the
// lifecycle state of each server (charts/backend.toml) and slot leases. It is owned by one task and is pure: time
// and randomness are passed in. It knows only the work of its own instance; totals over all instances are bounded by
// the leases that package keeper grants.
package balance
