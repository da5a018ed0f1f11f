// Package call holds requests and answers in a form that does not depend on the transport.
package call

import (
	"io"
	"time"
)

// Field is one header field. Order and repetition are kept.
type Field struct{ Name, Value string }

// Request is one request of a caller.
type Request struct {
	// ID identifies the request in logs and answers.
	ID string
	// Service is the name of the service document.
	Service string
	// Tenant is the customer that the request belongs to; empty when it has none.
	Tenant string
	// Method, Path and Query are those of the caller.
	Method, Path, Query string
	// Key is the caller's idempotency key; empty when it sent none.
	Key string
	// Header holds the end-to-end header fields.
	Header []Field
	// Body is the whole body.
	Body []byte
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Hops counts the nested calls above this one.
	Hops int
	// RetriesLeft is how many resends this call and the calls below it may still make.
	RetriesLeft int
	// Expect is the id of the only backend server that may run the request; empty when its address is enough.
	Expect string
}

// Answer is the answer of a backend server.
type Answer struct {
	Status int
	Header []Field
	// Body is the whole body when Stream is nil.
	Body []byte
	// Stream is the rest of a long body; the reader closes it. An error other than io.EOF means that the body is
	// truncated and must not be passed on as whole.
	Stream io.ReadCloser
	// Length is the length of a streamed body in bytes, or -1 when the server did not say.
	Length int64
}

// Fate says what is known about a request that was handed to a connection.
type Fate int

// Fates of a request.
const (
	// NotSent means that no byte was written to the backend server.
	NotSent Fate = iota
	// DeclaredNotRun means that the backend server itself said that it did not run the request.
	DeclaredNotRun
	// Answered means that a whole answer, or the head of a streamed one, was received.
	Answered
	// MaybeRun means that the request may have run and no whole answer was received.
	MaybeRun
)

// String returns the fate as it appears in logs.
func (f Fate) String() string {
	return [...]string{"not-sent", "declared-not-run", "answered", "maybe-run"}[f]
}

// SurelyNotRun reports whether it is certain that no backend server ran the request.
func (f Fate) SurelyNotRun() bool { return f == NotSent || f == DeclaredNotRun }
