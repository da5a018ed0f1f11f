// Package backend is a stand-in for a backend server: an HTTP server with slots, simulated service times, load reports,
// cold starts, draining, load shedding and crashes.
//
// One task owns the state of a server; the goroutines of net/http send it messages. The service times are drawn from a
// seeded distribution. The server counts the runs of each idempotency key, so that a test can show that no request ran
// twice. charts/standin.toml defines the lifecycle of a server.
package backend
