// Package ops serves health, readiness, metrics and state over HTTP to operators and to the platform's balancer.
//
// It is read-only: operators control the system only by editing documents.
package ops
