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
	// HeaderNotRun set to "true" on a 503 says that the server did not run the request.
	HeaderNotRun = "Backend-Not-Run"
	// HeaderLoad carries "<running>/<slots>".
	HeaderLoad = "Backend-Load"
	// HeaderState carries "ready", "cold" or "draining".
	HeaderState = "Backend-State"
	// HeaderIncarnation differs for each start of the server.
	HeaderIncarnation = "Backend-Incarnation"
	// HeaderTimeout carries the time that remains, in milliseconds.
	HeaderTimeout = "Fuchsiahub-Timeout-Ms"
	// HeaderHops carries the nesting depth of the call.
	HeaderHops = "Fuchsiahub-Hops"
	// HeaderRetries carries how many resends the calls below may still make.
	HeaderRetries = "Fuchsiahub-Retries-Left"
	// HeaderRequestID carries the id of the request.
	HeaderRequestID = "Fuchsiahub-Request-Id"
)

// MaxWholeAnswer is the longest answer body, in bytes, that is read whole before it is passed on.
const MaxWholeAnswer = 64 << 10

// IsTimeout reports whether an exchange ended because its time was over.
func IsTimeout(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}

// Exchange asks for one request to be sent on a connection of the pool.
type Exchange struct {
	Ctx     context.Context
	Request *call.Request
	// Reply has room for one result, so a connection never waits for its reader.
	Reply chan Result
}

// Result is how an exchange ended.
type Result struct {
	Answer *call.Answer
	Fate   call.Fate
	// Err says why there is no answer; nil when there is one.
	Err error
	// Refused is true when no connection could be opened.
	Refused bool
	// Draining, State, Incarnation, Running and Slots are what the server said about itself.
	Draining    bool
	State       string
	Incarnation string
	Running     int
	Slots       int
	// LoadKnown is true when the server told its load; Waiting and Slowdown are then set as well.
	LoadKnown bool
	// Waiting counts the requests in the server's queue.
	Waiting int
	// Slowdown is how long work takes on the server at the moment, 1 being usual.
	Slowdown float64
	// ColdFor is how long the server stays cold; zero when it did not say so.
	ColdFor time.Duration
	// Identity is the id that the server gave itself; empty when it gave none.
	Identity string
	// Leaving is true when the server closes the connection after the answer.
	Leaving bool
	// Elapsed is the time from the first byte written to the head of the answer.
	Elapsed time.Duration
}
