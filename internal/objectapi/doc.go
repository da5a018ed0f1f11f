// Package objectapi defines the interface to the platform's object API: objects with versions, conditional updates and
// watches. It is independent of the encoding; package objecthttp implements it over HTTP.
//
// Limits of the platform: several hundred writes and about two thousand reads per second for all clients together,
// where an open watch counts as one call; values up to 1 MB; and outages. A write whose answer was lost may have taken
// effect: the call fails with fault.AmbiguousWrite, and the caller reads the object back.
package objectapi
