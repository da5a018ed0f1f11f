// Package objecthttp is the adapter of objectapi.API: JSON over HTTP.
//
// The protocol, with {kind} and {name} as path segments:
//
//	GET    /v1/objects/{kind}                      List
//	GET    /v1/objects/{kind}?watch=true&after=N   Lines, one JSON value each, without end
//	GET    /v1/objects/{kind}/{name}               Item
//	POST   /v1/objects/{kind}/{name}               body Write, answer Item; 409 when the object exists
//	PUT    /v1/objects/{kind}/{name}?version=N     body Write, answer Item; 409 when the version is not current
//	DELETE /v1/objects/{kind}/{name}?version=N     answer 204; 409 when the version is not current
//
// Other answers: 404 for an object that does not exist, 410 for a version that is too old to watch from, 429 and 503
// with the reason "unavailable" when nothing was done. Any other answer to a write, and a write whose answer was lost,
// gives fault.AmbiguousWrite, because the write may have taken effect. The adapter does not repeat a call.
//
// Limits: one call takes at most 2 s, an answer at most 64 MiB, a line of a watch at most 2 MiB. A watch without any
// line for 30 s has failed.
package objecthttp
