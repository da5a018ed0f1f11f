// Package route decides which route of a service document a request takes and which policy follows from it.
//
// It is pure: it reads the document and the request and changes nothing.
package route
