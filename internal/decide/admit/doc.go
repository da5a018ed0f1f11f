// Package admit holds the requests that wait at one instance for a backend server of one service.
//
// The queue is bounded as a whole and per tenant. Requests leave it by priority, then by deadline. It is pure: time
// is passed in.
package admit
