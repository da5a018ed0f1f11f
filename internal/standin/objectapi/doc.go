// Package objectapi is a stand-in for the platform's object API: objects in memory, behind one task.
//
// Store is an objectapi.API for use in process; Handler serves it over HTTP with the protocol of package objecthttp.
// Switches make it fail in the ways that the platform does. It keeps nothing when it ends.
package objectapi
