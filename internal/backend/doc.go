// Package backend carries requests to backend servers.
//
// Each connection is a task that owns its socket and carries one exchange at a time, so a late answer or the answer to
// another request cannot reach a caller. One pool task per server owns the list of its connections and keeps their
// number within the instance's share of the server's connection limit.
//
// Limits: HTTP/1.1 without upgrade; answers up to 64 KiB are buffered, longer ones are streamed.
package backend
