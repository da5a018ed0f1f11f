// Package objecthttp implements objectapi.API with JSON over HTTP.
//
// The protocol, with {kind} and {name} as path segments:
//
//	GET    /v1/objects/{kind}                      List
//	GET    /v1/objects/{kind}?watch=true&after=N   endless stream of Line, one JSON value per line
//	GET    /v1/objects/{kind}/{name}               Item
//	POST   /v1/objects/{kind}/{name}               body Write, answer Item; 409 when the object exists
//	PUT    /v1/objects/{kind}/{name}?version=N     body Write, answer Item; 409 when the version is not current
//	DELETE /v1/objects/{kind}/{name}?version=N     answer 204; 409 when the version is not current
//
// Other answers: 400 or 413 for a call that is not valid, 404 for an object that does not exist, 410 for a version that
// is too old to watch from, and 429, or 503 with the reason "unavailable", when the call had no effect. After any other
// answer to a write, or without an answer, the write may have taken effect and fails with fault.AmbiguousWrite. The
// client does not retry calls.
//
// Limits: 2 s for one call, 64 MiB for an answer, 2 MiB for a line of a watch. A watch that receives no line for 30 s
// has failed.
package objecthttp
