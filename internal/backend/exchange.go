package backend

import (
	"context"
	"errors"
	"net"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/call"
)

// Header fields between fuchsiahub and backend servers.
const (
	// HeaderNotRun set to "true" on a 503 declares that the server did not run the request.
	HeaderNotRun = "Backend-Not-Run"
	// HeaderLoad carries "<running>/<slots>".
	HeaderLoad = "Backend-Load"
	// HeaderState carries "ready", "cold" or "draining".
	HeaderState = "Backend-State"
	// HeaderIncarnation identifies one run of the server; it changes with each restart.
	HeaderIncarnation = "Backend-Incarnation"
	// HeaderTimeout carries the time until the deadline, in milliseconds.
	HeaderTimeout = "Fuchsiahub-Timeout-Ms"
	// HeaderHops carries the nesting depth of the call.
	HeaderHops = "Fuchsiahub-Hops"
	// HeaderRetries carries the number of resends that nested calls may still make.
	HeaderRetries = "Fuchsiahub-Retries-Left"
	// HeaderRequestID carries the id of the request.
	HeaderRequestID = "Fuchsiahub-Request-Id"
)

// MaxBufferedAnswerBytes is the longest answer body, in bytes, that is buffered; longer ones are streamed.
const MaxBufferedAnswerBytes = 64 << 10

// IsTimeout reports whether an exchange ended by a timeout of its connection.
func IsTimeout(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}

// Exchange is the message that asks a pool to send one request.
type Exchange struct {
	Ctx     context.Context
	Request *call.Request
	// Reply has a buffer for one result, so that a connection never blocks on it.
	Reply chan Result
	// MaxBodyBytes is the maximum size of the body of the answer, with its chunk framing; zero allows any size.
	MaxBodyBytes int
}

// isCheck reports whether the exchange is a health check.
func (e *Exchange) isCheck() bool { return e.MaxBodyBytes > 0 }

// Result is the outcome of an exchange.
type Result struct {
	Answer *call.Answer
	Fate   call.Fate
	// Err is the reason for a missing answer; nil when there is an answer.
	Err error
	// ConnectionRefused is true when no connection could be opened.
	ConnectionRefused bool
	// Draining, State, Incarnation, Running and Slots are the values that the server reported.
	Draining    bool
	State       string
	Incarnation string
	Running     int
	Slots       int
	// LoadKnown is true when the server reported its load; Waiting and Slowdown are then set as well.
	LoadKnown bool
	// Waiting counts the requests in the server's queue.
	Waiting int
	// Slowdown is the current service time on the server relative to the typical one, which is 1.
	Slowdown float64
	// ColdFor is the time for which the server stays cold; zero when it did not report one.
	ColdFor time.Duration
	// ServerID is the id that the server reported for itself; empty when it reported none.
	ServerID string
	// ClosesConnection is true when the server closes the connection after the answer.
	ClosesConnection bool
	// UndeclaredRefusal is true when callers take the status for a promise that the request did not run, and the server does
	// not declare it.
	UndeclaredRefusal bool
	// ForeignAnswers counts the answers on the connection that belong to another request, to none, or to an unknown one.
	ForeignAnswers int
	// Elapsed is the time from the first byte of the request to the head of the answer.
	Elapsed time.Duration
	// Late is true when the answer had arrived in time and was read after the deadline. Elapsed is then no time of the server.
	Late bool
}
