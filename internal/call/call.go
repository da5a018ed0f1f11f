// Package call defines requests and answers independently of the transport.
package call

import (
	"io"
	"time"
)

// Field is one header field. Order and repetition of fields are preserved.
type Field struct{ Name, Value string }

// Request is one request of a caller.
type Request struct {
	// ID identifies the request in logs and answers.
	ID string
	// Service is the name of the service document.
	Service string
	// Tenant is the customer that sent the request; empty when the request names none.
	Tenant string
	// Method, Path and Query are as the caller sent them.
	Method, Path, Query string
	// Key is the caller's idempotency key; empty when it sent none.
	Key string
	// Header holds the end-to-end header fields.
	Header []Field
	// Body is the complete body.
	Body []byte
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// Hops is the nesting depth: the number of calls above this one.
	Hops int
	// RetriesLeft is the number of resends that this call and its nested calls may still make.
	RetriesLeft int
	// ExpectedServer is the id of the only backend server that may run the request; empty when any server at the address may.
	ExpectedServer string
}

// Answer is the answer of a backend server.
type Answer struct {
	Status int
	Header []Field
	// Body is the complete body when Stream is nil.
	Body []byte
	// Stream delivers a long body; the reader closes it. An error other than io.EOF means that the body is truncated and
	// must not be forwarded as complete.
	Stream io.ReadCloser
	// Length is the length of a streamed body in bytes, or -1 when the server did not send it.
	Length int64
}

// Fate states what is known about the execution of a request that was passed to a connection.
type Fate int

// Fates of a request.
const (
	// NotSent means that no byte was written to the backend server.
	NotSent Fate = iota
	// DeclaredNotRun means that the backend server declared that it did not run the request.
	DeclaredNotRun
	// Answered means that a complete answer, or the head of a streamed one, was received.
	Answered
	// MaybeRun means that the request may have run and that no complete answer was received.
	MaybeRun
)

// String returns the fate as it appears in logs.
func (f Fate) String() string {
	return [...]string{"not-sent", "declared-not-run", "answered", "maybe-run"}[f]
}

// SurelyNotRun reports whether it is certain that no backend server ran the request.
func (f Fate) SurelyNotRun() bool { return f == NotSent || f == DeclaredNotRun }
