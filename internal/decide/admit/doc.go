// Package admit implements the queue of requests that wait at one instance for a backend server of one service.
//
// The queue is bounded in total and per tenant. Requests leave it by priority. Among requests of one priority, tenants
// are served round-robin and the requests of each tenant earliest deadline first, so that a surge of one tenant delays
// only that tenant. A request that is expected to miss its deadline is refused on arrival; its wait is estimated from the
// pace that the owner passes in. The package is pure: time is passed in.
package admit
