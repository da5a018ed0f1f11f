package backend

import (
	"context"
	"net/http"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/call"
)

// ProbeTimeout bounds one probe. It is shorter than the minimum interval between two probes of a server.
const ProbeTimeout = 900 * time.Millisecond

// ProbeResult is the result of one probe of a backend server.
type ProbeResult struct {
	// ConnectionRefused is true when the connection was refused or reset and there is no evidence that the server is
	// still the same incarnation. A probe that timed out is neither refused nor answered.
	ConnectionRefused bool
	Answered          bool
	// State, Incarnation, Running and Slots are the values that the server reported.
	State          string
	Incarnation    string
	Running, Slots int
}

// Probe requests the state of a server over the prober's pool. The status code of the answer is ignored, because a
// health endpoint can be out of date. When a reused connection breaks, the probe is repeated once over a new one; the
// incarnation in that answer shows whether the server has restarted.
func Probe(ctx context.Context, pool *Pool, service, path string) ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	req := &call.Request{ID: "probe", Service: service, Method: http.MethodGet, Path: path, Deadline: deadline}
	first := roundTrip(ctx, pool, req)
	if first.Err == nil {
		return answeredResult(first)
	}
	if first.ConnectionRefused || timedOut(ctx, first.Err) {
		return ProbeResult{ConnectionRefused: !timedOut(ctx, first.Err)}
	}
	second := roundTrip(ctx, pool, req)
	if second.Err != nil {
		return ProbeResult{ConnectionRefused: !timedOut(ctx, second.Err)}
	}
	result := answeredResult(second)
	result.ConnectionRefused = result.Incarnation == "" && !endedWhileIdle(first.Err)
	return result
}

// roundTrip makes one exchange and discards the body of the answer.
func roundTrip(ctx context.Context, pool *Pool, req *call.Request) Result {
	result := pool.Do(ctx, req)
	if result.Answer != nil && result.Answer.Stream != nil {
		_ = result.Answer.Stream.Close() // closing ends the exchange; an error has no consequence
	}
	return result
}

func answeredResult(r Result) ProbeResult {
	return ProbeResult{Answered: true, State: r.State, Incarnation: r.Incarnation, Running: r.Running, Slots: r.Slots}
}

// timedOut reports whether an exchange ended by a timeout.
func timedOut(ctx context.Context, err error) bool {
	return ctx.Err() != nil || IsTimeout(err)
}
