// Package quarantine decides which requests are refused because they crashed backend servers.
//
// Equal requests have the same fingerprint. If a connection breaks while a request runs, and the server then refuses a
// connection or reports a new incarnation, the fingerprint gets a strike for that crash. After strikes from two different
// crashes, requests with the fingerprint are refused until the strikes expire; an answer clears the fingerprint.
// charts/quarantine.toml holds the lifecycle.
//
// Limits: a request that crashes a server while its answer is already being streamed gets no strike. Two crashes of a
// server that reports no incarnation count as one if they are less than SameCrashWindow apart. If MaxMarks fingerprints
// are marked, further ones are not marked.
package quarantine
