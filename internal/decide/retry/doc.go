// Package retry limits how often requests of a service are sent again, and estimates when to send a hedge.
//
// Resends and hedges take tokens from budgets that requests fill, so that they cannot multiply the load during an outage.
// The package is pure, and its values are owned by the task of one service. It does not decide whether a request may run
// twice: the owner takes tokens only for requests that may be sent again because of their route or because they did not
// run.
package retry
