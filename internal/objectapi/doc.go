// Package objectapi is the interface to the platform's object API: objects with versions, conditional updates and
// watches. It knows no encoding; package objecthttp holds the adapter.
//
// Limits of the platform: several hundred writes and about two thousand reads a second in all, a waiting watch
// counts as one call, values up to 1 MB, and outages. A write whose answer was lost may have taken effect; such a
// call fails with fault.AmbiguousWrite and the caller reads the object back.
package objectapi
