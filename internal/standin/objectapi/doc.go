// Package objectapi is a stand-in for the platform's object API: objects in memory, owned by one task.
//
// Store implements objectapi.API in process; Handler serves it over HTTP with the protocol of package objecthttp. Switches
// inject the failures that occur in the platform. Nothing is persisted.
package objectapi
