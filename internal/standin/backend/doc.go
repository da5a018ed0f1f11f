// Package backend is a stand-in for a backend server: HTTP with slots, a service time, load reports, cold starts,
// drains, load shedding and crashes.
//
// One task owns the state of a server; the goroutines of net/http ask it by message. The service times are drawn from
// a seeded distribution. The server counts the runs of each idempotency key, so that a test can show that none ran
// twice. charts/standin.toml holds its lifecycle.
package backend
