package backend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/call"
)

// ProbeTimeout bounds one probe. It is shorter than the least time between two probes of a server.
const ProbeTimeout = 900 * time.Millisecond

// ProbeResult is what one probe showed of a backend server.
type ProbeResult struct {
	// Refused is true when the connection was refused, or was reset before the whole answer. A probe that took too
	// long is neither refused nor answered.
	Refused  bool
	Answered bool
	// State, Incarnation, Running and Slots are what the server said about itself.
	State          string
	Incarnation    string
	Running, Slots int
}

// Probe asks a server for its state over the pool of the prober. The status of the answer does not count: a health
// endpoint can be out of date. A kept connection that the server closed while it was idle is replaced once.
func Probe(ctx context.Context, pool *Pool, service, path string) ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	req := &call.Request{ID: "probe", Service: service, Method: http.MethodGet, Path: path, Deadline: deadline}
	result := pool.Do(ctx, req)
	if errors.Is(result.Err, errClosedWhileIdle) {
		result = pool.Do(ctx, req)
	}
	if result.Answer != nil && result.Answer.Stream != nil {
		_ = result.Answer.Stream.Close() // the body of a probe is of no interest
	}
	if result.Err != nil {
		return ProbeResult{Refused: ctx.Err() == nil && !timedOut(result.Err)}
	}
	return ProbeResult{
		Answered: true, State: result.State, Incarnation: result.Incarnation, Running: result.Running, Slots: result.Slots,
	}
}

func timedOut(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}
