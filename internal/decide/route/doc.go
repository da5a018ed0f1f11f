// Package route matches a request to a route of a service document and derives the policy of the request.
//
// The package is pure: it reads the document and the request and modifies neither.
package route
