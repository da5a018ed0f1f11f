// Package retry decides whether a request may be sent again and when a second copy is sent.
//
// Resends and hedges take tokens from budgets that requests fill, so they cannot multiply the load of an outage. It
// is pure and owned by the task of one service. It does not know whether a request may run twice: the owner asks only
// for requests whose route or fate allows it.
package retry
