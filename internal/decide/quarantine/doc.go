// Package quarantine decides which requests are refused because they crashed backend servers.
//
// A request is known by its fingerprint. When a connection breaks while the request runs, and the server then refuses a
// connection or reports a new start, the fingerprint gets a strike for that crash. Two strikes from different crashes
// condemn it for a time; an answer clears it. charts/quarantine.toml holds the lifecycle.
//
// Limits: a request that crashes a server while its answer is already being streamed gets no strike. Two crashes of one
// server that reports no incarnation count as one when they are less than SameCrash apart. When the number of marked
// fingerprints reaches its bound, further ones are not marked.
package quarantine
