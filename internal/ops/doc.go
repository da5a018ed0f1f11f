// Package ops is the HTTP side for operators and for the platform's balancer: health, readiness, metrics and state.
//
// It shows and changes nothing: operators drive the system only by editing documents.
package ops
