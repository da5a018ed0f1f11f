// Package member decides which instances of the fleet are alive.
//
// It combines the heartbeats that peers gossip with the platform's list of instances, which lags, and does no I/O. It
// provides no consensus: two instances may have different views, so anything that must not happen twice is fenced
// through the object API.
package member
