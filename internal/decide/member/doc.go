// Package member decides which instances of the fleet are alive.
//
// It is pure: it combines heartbeats that peers pass on with the platform's list of instances, which lags. It offers
// no agreement: two instances may hold different views, and whatever must not be done twice is fenced through the
// object API.
package member
