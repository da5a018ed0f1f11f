// Package admit holds the requests that wait at one instance for a backend server of one service.
//
// The queue is bounded as a whole and per tenant. Requests leave it by priority; among requests of one priority,
// tenants take turns and each tenant's requests go by deadline, so a surge of one tenant costs only that tenant. A
// request that cannot be answered before its deadline is refused when it arrives. It is pure: time is passed in. The
// wait is an estimate from the pace that the owner passes in.
package admit
