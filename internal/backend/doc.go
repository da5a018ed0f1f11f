// Package backend carries requests to backend servers.
//
// One connection is one task that owns its socket and carries one exchange at a time, so an answer that is late or
// belongs to another request cannot reach a caller. One pool task per server owns the list of its connections and
// keeps their number under the instance's share of the server's connection limit.
//
// Limits: HTTP/1.1 without upgrade; answers up to 64 KiB are read whole, longer ones are streamed.
package backend
